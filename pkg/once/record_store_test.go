package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	a1 = Ref{"a1", 1}
	b1 = Ref{"b1", 1}
	c1 = Ref{"c1", 1}
)

func newRecordStore(self Ref, shards ...Shard) *RecordStore {
	rs := &RecordStore{Self: self}
	for _, s := range shards {
		rs.UpdateShard(s, 0, time.Now())
	}
	return rs
}

func firstEpoch(owner, backup Ref) Shard {
	return Shard{Service: service, Epoch: 1, Owner: owner, Backup: backup}
}

// TestFence guards against a backup that accepts a claim or a chunk of a past
// epoch, which would let a paused owner run a request a second time.
func TestFence(t *testing.T) {
	now, s := time.Now(), firstEpoch(a1, b1)
	old := Claim{Service: service, Epoch: 1, Seq: 1, Key: "key", Digest: 1}
	chunk := Chunk{Shard: s, ID: 1, Last: true}
	cases := map[string]struct {
		later []Shard
		want  Verdict
	}{
		"backup of the epoch":         {want: VerdictAccepted},
		"backup was promoted":         {later: []Shard{s.WithPromotion(c1)}, want: VerdictOldEpoch},
		"backup has left":             {later: []Shard{s.WithBackup(c1)}, want: VerdictOldEpoch},
		"backup of a later owner":     {later: []Shard{{Service: service, Epoch: 4, Owner: c1, Backup: b1}}, want: VerdictOldEpoch},
		"shard was lost and replaced": {later: []Shard{s.WithLoss(c1, Ref{})}, want: VerdictOldEpoch},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newRecordStore(b1)
			_, verdict := b.Import(chunk, now)
			assert.Equal(t, verdict, VerdictAccepted)
			for _, later := range tc.later {
				b.UpdateShard(later, 0, now)
				b.Import(Chunk{Shard: later, ID: 1, Last: true}, now)
			}
			_, verdict = b.Import(chunk, now)
			assert.Equal(t, verdict, tc.want)
			_, verdict = b.Claim(old, now)
			assert.Equal(t, verdict, tc.want)
		})
	}
}

// TestDelayedRelease guards against a late release of one attempt that frees the
// key while the next attempt may be running.
func TestDelayedRelease(t *testing.T) {
	now, s := time.Now(), firstEpoch(a1, b1)
	b := newRecordStore(b1, s)
	b.Import(Chunk{Shard: s, ID: 1, Last: true}, now)
	earlier := Claim{Service: service, Epoch: 1, Seq: 1, Key: keysOfOneShard(1)[0], Digest: 1}
	later := earlier
	later.Seq = 2
	for _, c := range []Claim{earlier, later} {
		_, verdict := b.Claim(c, now)
		assert.Equal(t, verdict, VerdictAccepted)
	}
	b.Settle(Settlement{Claim: earlier, Outcome: OutcomeReleased}, now)
	b.UpdateShard(s.WithPromotion(Ref{}), 0, now)
	_, verdict := b.Begin(service, later.Key, 1, now)
	assert.Equal(t, verdict, VerdictUnknown)
}

// TestBounds guards against memory growth beyond the limits, and against the
// eviction of a record within the window, after which its request could run
// again.
func TestBounds(t *testing.T) {
	now, s := time.Now(), firstEpoch(a1, Ref{})
	rs := newRecordStore(a1, s)
	rs.MaxRecords, rs.MaxAnswerBytes = 3, 10
	keys := keysOfOneShard(5)
	for _, key := range keys[:3] {
		r, verdict := rs.Begin(service, key, 1, now)
		assert.Equal(t, verdict, VerdictNew)
		assert.Assert(t, rs.Acknowledge(r.Claim))
		for _, answer := range []string{"1234", "second"} {
			rs.Settle(Settlement{Claim: r.Claim, Outcome: OutcomeFinished, Answer: []byte(answer)}, now)
		}
	}
	_, verdict := rs.Begin(service, keys[3], 1, now)
	assert.Equal(t, verdict, VerdictFull)
	r, verdict := rs.Begin(service, keys[0], 1, now)
	assert.Equal(t, verdict, VerdictFinished)
	assert.Assert(t, r.Answer == nil, "the oldest answer is dropped first")
	r, _ = rs.Begin(service, keys[2], 1, now)
	assert.Equal(t, string(r.Answer), "1234", "the first answer is final")
	_, answers := rs.Size()
	assert.Equal(t, answers, 8)
	now = now.Add(time.Hour) // a pause of the process does not expire records
	_, verdict = rs.Begin(service, keys[0], 1, now)
	assert.Equal(t, verdict, VerdictFinished)
	for range Window/time.Second + 90 {
		now = now.Add(time.Second)
		rs.Tick(now)
	}
	records, answers := rs.Size()
	assert.Equal(t, records, 0)
	assert.Equal(t, answers, 0)
	_, verdict = rs.Begin(service, keys[3], 1, now)
	assert.Equal(t, verdict, VerdictNew)
}

func keysOfOneShard(n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		if key := fmt.Sprintf("order-%032d", i); ShardIndex(key) == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// TestAssign guards against pairs that share a failure domain or span regions
// although better members exist, and against an uneven distribution.
func TestAssign(t *testing.T) {
	var members []Member
	for i := range 8 {
		members = append(members, Member{
			Ref:    Ref{ID: fmt.Sprint("n", i), Incarnation: 1},
			Region: []string{"poa", "cwb"}[i/4], Domain: []string{"east", "west"}[i%2],
		})
	}
	byRef := map[Ref]Member{}
	for _, m := range members {
		byRef[m.Ref] = m
	}
	m := Assign("orders", members)
	b, err := m.Encode()
	assert.NilError(t, err)
	decoded, err := DecodeMap("orders", b)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, m)
	for _, s := range m.Shards {
		owner, backup := byRef[s.Owner], byRef[s.Backup]
		assert.Equal(t, owner.Region, backup.Region)
		assert.Assert(t, owner.Domain != backup.Domain)
	}
	for ref, n := range m.count(ownerOf) {
		assert.Assert(t, n <= Shards/len(members), "%v owns %d shards", ref, n)
	}
}

// BenchmarkBegin measures one attempt at an owner with 20,000 records.
func BenchmarkBegin(b *testing.B) {
	rs, now := newRecordStore(a1), time.Now()
	for i := range Shards {
		s := firstEpoch(a1, Ref{})
		s.Index = i
		rs.UpdateShard(s, 0, now)
	}
	for i := range MaxRecords - 1 {
		rs.Begin(service, fmt.Sprintf("order-%032d", i), 1, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		r, _ := rs.Begin(service, "the key", 1, now)
		rs.Acknowledge(r.Claim)
		rs.Settle(Settlement{Claim: r.Claim, Outcome: OutcomeReleased}, now)
	}
}

// BenchmarkMemory measures the heap size of 15,000 finished records.
func BenchmarkMemory(b *testing.B) {
	for name, size := range map[string]int{"without answers": 0, "with answers of 270 bytes": 270} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				rs := newRecordStore(a1, firstEpoch(a1, Ref{}))
				for i := range 15_000 {
					c := Claim{Service: service, Epoch: 1, Seq: uint64(i), Key: fmt.Sprintf("order-%032d", i)}
					rs.Settle(Settlement{Claim: c, Outcome: OutcomeFinished, Answer: make([]byte, size)}, time.Now())
				}
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				records, _ := rs.Size()
				assert.Equal(b, records, 15_000)
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
