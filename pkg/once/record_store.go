package once

import (
	"sync"
	"time"
)

// Limits and times of a RecordStore.
const (
	// Window is the time after the first send of a key within which a caller
	// may resend it.
	Window = 10 * time.Minute
	// MaxRecords is the default limit on the records of a node. About 15,000 are
	// expected at the target rate of 12 new keys a second, each stored at its
	// owner and its backup.
	MaxRecords = 20_000
	// MaxAnswerBytes is the default limit on the total size of stored answers.
	MaxAnswerBytes = 4 << 20
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 256

	// retention is how long a record is stored. It exceeds Window because a
	// request lives at most 30 s: a resend from the end of the window still
	// finds its record.
	retention = Window + time.Minute
	// maxClockStep bounds how far the store's clock advances between two calls;
	// Tick is called every second. The clock is therefore nearly stopped while
	// the process is paused, so that requests that were buffered during the
	// pause still find the records from before it.
	maxClockStep = 5 * time.Second
)

// RecordStore stores in memory the records of the shards that a node owns or
// backs up. The zero value is ready for use once Self is set. It is safe for
// concurrent use.
type RecordStore struct {
	// Self identifies this process. It must be set before the first call.
	Self Ref
	// MaxRecords and MaxAnswerBytes override the default limits unless zero.
	MaxRecords     int
	MaxAnswerBytes int

	mu sync.Mutex
	// clock is the elapsed time without pauses of the process.
	clock time.Duration
	// last is the latest time passed to a call.
	last time.Time
	// seq is the last sequence number assigned to an attempt or transfer.
	seq uint64
	// shards has an entry for every shard ever passed to UpdateShard. The epoch
	// of a shard that this node no longer serves still fences delayed messages.
	shards map[shardID]*shardState
	// records is the total number of records in all shards.
	records int
	answers answerQueue
}

type shardState struct {
	Shard
	// ownerSince is the epoch in which this node became the owner, or zero when
	// it is not the owner.
	ownerSince uint64
	// synced means at the owner that the backup has every record, and at the
	// backup that this node has every record of the epoch.
	synced bool
	// unknownUntil is the clock time until which a key without a record may have
	// run, because records were lost.
	unknownUntil time.Duration
	// graceUntil is the clock time until which claims of the previous owner are
	// treated as running.
	graceUntil time.Duration
	// transfer is the ID of the transfer being received, and part the number of
	// its next chunk.
	transfer uint64
	part     int
	records  map[string]*record
}

// hasAllRecords reports whether the node has every record of the shard's epoch.
func (st *shardState) hasAllRecords(self Ref) bool {
	return st.Owner == self || st.Backup == self && st.synced
}

func (rs *RecordStore) advanceClock(now time.Time) time.Duration {
	if rs.last.IsZero() {
		rs.last = now
	}
	if d := now.Sub(rs.last); d > 0 {
		rs.clock += min(d, maxClockStep)
		rs.last = now
	}
	return rs.clock
}

func (rs *RecordStore) maxRecords() int {
	if rs.MaxRecords > 0 {
		return rs.MaxRecords
	}
	return MaxRecords
}

func (rs *RecordStore) maxAnswerBytes() int {
	if rs.MaxAnswerBytes > 0 {
		return rs.MaxAnswerBytes
	}
	return MaxAnswerBytes
}

// UpdateShard applies a shard as written in the table and reports whether its
// epoch is newer than the known one. For the duration of grace, claims of the
// previous owner are treated as running. Pass a grace period after a hand-over,
// when the previous owner is still settling its attempts.
func (rs *RecordStore) UpdateShard(s Shard, grace time.Duration, now time.Time) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.updateShard(s, grace, rs.advanceClock(now))
}

func (rs *RecordStore) updateShard(s Shard, grace, at time.Duration) bool {
	if rs.shards == nil {
		rs.shards = make(map[shardID]*shardState)
	}
	st := rs.shards[s.id()]
	if st == nil {
		st = &shardState{}
		rs.shards[s.id()] = st
	}
	if s.Epoch <= st.Epoch {
		return false
	}
	prev := *st
	st.Shard, st.transfer, st.part = s, 0, 0
	st.synced = s.Owner == rs.Self && s.Backup.IsZero()
	if s.Owner == rs.Self {
		rs.updateOwned(st, prev, grace, at)
		return true
	}
	// The owner of the new epoch sends every record to its backup.
	rs.clear(st)
	st.ownerSince, st.unknownUntil, st.graceUntil = 0, 0, 0
	return true
}

// updateOwned applies an epoch in which this node becomes or remains the owner.
func (rs *RecordStore) updateOwned(st *shardState, prev shardState, grace, at time.Duration) {
	// Without the records of the previous epoch, a key without a record may have
	// run.
	complete := st.Epoch == 1 || prev.Epoch+1 == st.Epoch && prev.hasAllRecords(rs.Self)
	if !complete {
		rs.clear(st)
	}
	if st.ownerSince == 0 || !complete {
		st.ownerSince, st.graceUntil = st.Epoch, at+grace
	}
	if !complete || st.LossEpoch > prev.LossEpoch {
		st.unknownUntil = at + retention
	}
}

func (rs *RecordStore) clear(st *shardState) {
	for key := range st.records {
		rs.remove(st, key)
	}
	st.records = nil
}

func (rs *RecordStore) insert(st *shardState, key string, r record) *record {
	if st.records == nil {
		st.records = make(map[string]*record)
	}
	p := &r
	st.records[key] = p
	rs.records++
	return p
}

func (rs *RecordStore) remove(st *shardState, key string) {
	if r := st.records[key]; r != nil {
		rs.answers.drop(r)
		delete(st.records, key)
		rs.records--
	}
}

// Tick advances the clock and removes expired records. Call it every second.
func (rs *RecordStore) Tick(now time.Time) {
	rs.mu.Lock()
	ids := make([]shardID, 0, len(rs.shards))
	for id, st := range rs.shards {
		if len(st.records) > 0 {
			ids = append(ids, id)
		}
	}
	rs.mu.Unlock()
	for _, id := range ids {
		rs.expire(id, now)
	}
}

func (rs *RecordStore) expire(id shardID, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	at, st := rs.advanceClock(now), rs.shards[id]
	for key, r := range st.records {
		if st.expired(r, at) {
			rs.remove(st, key)
		}
	}
}

// expired reports whether a record may be removed. The record of an attempt of
// this node is kept until the attempt is settled.
func (st *shardState) expired(r *record, at time.Duration) bool {
	own := st.ownerSince != 0 && r.attempt.epoch >= st.ownerSince
	if own && (r.state == Claimed || r.state == Running) {
		return false
	}
	return at >= r.expires
}

// Shard returns the latest known epoch of a shard and whether this node has all
// its records.
func (rs *RecordStore) Shard(service string, index int) (s Shard, complete bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	st := rs.shards[shardID{service, index}]
	if st == nil {
		return Shard{}, false
	}
	return st.Shard, st.hasAllRecords(rs.Self)
}

// Size returns the number of records and the total size of stored answers in
// bytes.
func (rs *RecordStore) Size() (records, answers int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.records, rs.answers.bytes
}
