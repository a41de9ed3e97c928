package once

import (
	"sync"
	"time"
)

// Bounds of a Keeper.
const (
	// Window is how long a record is kept. A caller must not resend a key
	// later than this after its first send.
	Window = 10 * time.Minute
	// MaxRecords bounds the records of a node: 15,000 are expected at the
	// target of 12 new keys a second, held as owner and as backup.
	MaxRecords = 20_000
	// MaxAnswerBytes bounds the bytes of kept answers.
	MaxAnswerBytes = 4 << 20
	// MaxKeyBytes bounds a key in bytes.
	MaxKeyBytes = 256

	// retention is how long a record is kept. A request lives at most 30 s, so
	// a resend from the end of the window still meets its record.
	retention = Window + time.Minute
	// maxStep bounds how far the keeper's clock moves between two calls; Tick
	// is called every second. The clock therefore stands still while the
	// process is paused, and requests that waited in its buffers during the
	// pause meet the records that were there before it.
	maxStep = 5 * time.Second
)

// RecordStore holds the records of the shards that a node owns or backs up. The
// zero value works once Self is set. It is safe for concurrent use.
type RecordStore struct {
	// Self is this process; set it before the first call.
	Self Ref
	// MaxRecords and MaxAnswers replace the default bounds unless zero.
	MaxRecords int
	MaxAnswerBytes int

	mu sync.Mutex
	// clock is the time that passed while the process was not paused.
	clock time.Duration
	// last is the time of the newest call.
	last time.Time
	// seq is the last number given to an attempt or transfer.
	seq uint64
	// shards has an entry for every shard ever adopted: the epoch of a shard
	// that this node has left still fences delayed messages.
	shards map[shardID]*shardState
	// records is the number of records in all shards.
	records int
	answers answerQueue
}

type shardState struct {
	Shard
	// since is the epoch in which this node became the owner; zero when it is
	// not the owner.
	since uint64
	// synced means at the owner that the backup holds every record, and at the
	// backup that this node holds every record of the epoch.
	synced bool
	// blindUntil is the instant until which an absent key may have run.
	blindUntil time.Duration
	// graceUntil is the instant until which a claim of the previous owner
	// counts as running.
	graceUntil time.Duration
	// transfer and part are the transfer that is being received and the
	// number of its next chunk.
	transfer uint64
	part     int
	records  map[string]*record
}

// holds reports whether the node has every record of the shard's epoch.
func (st *shardState) holds(self Ref) bool {
	return st.Owner == self || st.Backup == self && st.synced
}

func (k *RecordStore) instant(now time.Time) time.Duration {
	if k.last.IsZero() {
		k.last = now
	}
	if d := now.Sub(k.last); d > 0 {
		k.clock += min(d, maxStep)
		k.last = now
	}
	return k.clock
}

func (k *RecordStore) maxRecords() int {
	if k.MaxRecords > 0 {
		return k.MaxRecords
	}
	return MaxRecords
}

func (k *RecordStore) maxAnswers() int {
	if k.MaxAnswerBytes > 0 {
		return k.MaxAnswerBytes
	}
	return MaxAnswerBytes
}

// UpdateShard takes over a shard as it stands in the table and reports whether it
// was news. During grace, claims of the previous owner count as running: it is
// set when the previous owner has handed over and still settles them.
func (k *RecordStore) UpdateShard(s Shard, grace time.Duration, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.adopt(s, grace, k.instant(now))
}

func (k *RecordStore) adopt(s Shard, grace, at time.Duration) bool {
	if k.shards == nil {
		k.shards = make(map[shardID]*shardState)
	}
	st := k.shards[s.id()]
	if st == nil {
		st = &shardState{}
		k.shards[s.id()] = st
	}
	if s.Epoch <= st.Epoch {
		return false
	}
	prev := *st
	st.Shard, st.transfer, st.part = s, 0, 0
	st.synced = s.Owner == k.Self && s.Backup.IsZero()
	if s.Owner == k.Self {
		k.become(st, prev, grace, at)
		return true
	}
	// The owner of the new epoch sends every record to a new backup.
	k.clear(st)
	st.since, st.blindUntil, st.graceUntil = 0, 0, 0
	return true
}

// become makes this node the owner, or keeps it the owner with another backup.
func (k *RecordStore) become(st *shardState, prev shardState, grace, at time.Duration) {
	// Without the records of the epoch before, an absent key may have run.
	complete := st.Epoch == 1 || prev.Epoch+1 == st.Epoch && prev.holds(k.Self)
	if !complete {
		k.clear(st)
	}
	if st.since == 0 || !complete {
		st.since, st.graceUntil = st.Epoch, at+grace
	}
	if !complete || st.LossEpoch > prev.LossEpoch {
		st.blindUntil = at + retention
	}
}

func (k *RecordStore) clear(st *shardState) {
	for key := range st.records {
		k.remove(st, key)
	}
	st.records = nil
}

func (k *RecordStore) insert(st *shardState, key string, r record) *record {
	if st.records == nil {
		st.records = make(map[string]*record)
	}
	p := &r
	st.records[key] = p
	k.records++
	return p
}

func (k *RecordStore) remove(st *shardState, key string) {
	if r := st.records[key]; r != nil {
		k.answers.drop(r)
		delete(st.records, key)
		k.records--
	}
}

// Tick moves the keeper's clock and removes records whose window is over. Call
// it every second.
func (k *RecordStore) Tick(now time.Time) {
	k.mu.Lock()
	ids := make([]shardID, 0, len(k.shards))
	for id, st := range k.shards {
		if len(st.records) > 0 {
			ids = append(ids, id)
		}
	}
	k.mu.Unlock()
	for _, id := range ids {
		k.expire(id, now)
	}
}

func (k *RecordStore) expire(id shardID, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, st := k.instant(now), k.shards[id]
	for key, r := range st.records {
		if st.expired(r, at) {
			k.remove(st, key)
		}
	}
}

// expired reports whether a record may be removed. An attempt of this node is
// kept until it is settled.
func (st *shardState) expired(r *record, at time.Duration) bool {
	own := st.since != 0 && r.attempt.epoch >= st.since
	if own && (r.state == Claimed || r.state == Running) {
		return false
	}
	return at >= r.expires
}

// Shard returns the newest known form of a shard and whether this node holds
// all its records.
func (k *RecordStore) Shard(service string, index int) (s Shard, holds bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	st := k.shards[shardID{service, index}]
	if st == nil {
		return Shard{}, false
	}
	return st.Shard, st.holds(k.Self)
}

// Size returns the number of records and the bytes of kept answers.
func (k *RecordStore) Size() (records, answers int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records, k.answers.bytes
}
