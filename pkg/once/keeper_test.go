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

func keeper(self Ref, shards ...Shard) *RecordStore {
	k := &RecordStore{Self: self}
	for _, s := range shards {
		k.UpdateShard(s, 0, time.Now())
	}
	return k
}

func first(owner, backup Ref) Shard {
	return Shard{Service: service, Epoch: 1, Owner: owner, Backup: backup}
}

// TestFence guards against a backup that accepts a claim or a chunk of an
// epoch that is over, with which a paused owner could run a key again.
func TestFence(t *testing.T) {
	now, s := time.Now(), first(a1, b1)
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
			b := keeper(b1)
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

// TestDelayedRelease guards against the release of one attempt that frees the
// key of the next attempt, which may be running.
func TestDelayedRelease(t *testing.T) {
	now, s := time.Now(), first(a1, b1)
	b := keeper(b1, s)
	b.Import(Chunk{Shard: s, ID: 1, Last: true}, now)
	earlier := Claim{Service: service, Epoch: 1, Seq: 1, Key: sameShard(1)[0], Digest: 1}
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

// TestBounds guards against memory that grows past the bounds and against an
// eviction inside the window, after which a key could run again.
func TestBounds(t *testing.T) {
	now, s := time.Now(), first(a1, Ref{})
	k := keeper(a1, s)
	k.MaxRecords, k.MaxAnswerBytes = 3, 10
	keys := sameShard(5)
	for _, key := range keys[:3] {
		r, verdict := k.Begin(service, key, 1, now)
		assert.Equal(t, verdict, VerdictNew)
		assert.Assert(t, k.Acknowledge(r.Claim))
		for _, answer := range []string{"1234", "second"} {
			k.Settle(Settlement{Claim: r.Claim, Outcome: OutcomeFinished, Answer: []byte(answer)}, now)
		}
	}
	_, verdict := k.Begin(service, keys[3], 1, now)
	assert.Equal(t, verdict, VerdictFull)
	r, verdict := k.Begin(service, keys[0], 1, now)
	assert.Equal(t, verdict, VerdictFinished)
	assert.Assert(t, r.Answer == nil, "the oldest answer is dropped first")
	r, _ = k.Begin(service, keys[2], 1, now)
	assert.Equal(t, string(r.Answer), "1234", "the first answer stays")
	_, answers := k.Size()
	assert.Equal(t, answers, 8)
	now = now.Add(time.Hour) // a pause does not age the records
	_, verdict = k.Begin(service, keys[0], 1, now)
	assert.Equal(t, verdict, VerdictFinished)
	for range Window/time.Second + 90 {
		now = now.Add(time.Second)
		k.Tick(now)
	}
	records, answers := k.Size()
	assert.Equal(t, records, 0)
	assert.Equal(t, answers, 0)
	_, verdict = k.Begin(service, keys[3], 1, now)
	assert.Equal(t, verdict, VerdictNew)
}

func sameShard(n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		if key := fmt.Sprintf("order-%032d", i); ShardIndex(key) == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// TestAssign guards against pairs within one failure domain or across regions
// without need, and against an uneven spread.
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

// BenchmarkBegin measures one key at an owner with 20,000 records.
func BenchmarkBegin(b *testing.B) {
	k, now := keeper(a1), time.Now()
	for i := range Shards {
		s := first(a1, Ref{})
		s.Index = i
		k.UpdateShard(s, 0, now)
	}
	for i := range MaxRecords - 1 {
		k.Begin(service, fmt.Sprintf("order-%032d", i), 1, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		r, _ := k.Begin(service, "the key", 1, now)
		k.Acknowledge(r.Claim)
		k.Settle(Settlement{Claim: r.Claim, Outcome: OutcomeReleased}, now)
	}
}

// BenchmarkMemory measures the heap of 15,000 finished records.
func BenchmarkMemory(b *testing.B) {
	for name, size := range map[string]int{"without answers": 0, "with answers of 270 bytes": 270} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heap()
				k := keeper(a1, first(a1, Ref{}))
				for i := range 15_000 {
					c := Claim{Service: service, Epoch: 1, Seq: uint64(i), Key: fmt.Sprintf("order-%032d", i)}
					k.Settle(Settlement{Claim: c, Outcome: OutcomeFinished, Answer: make([]byte, size)}, time.Now())
				}
				b.ReportMetric(float64(heap()-before)/1e6, "MB")
				records, _ := k.Size()
				assert.Equal(b, records, 15_000)
			}
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
