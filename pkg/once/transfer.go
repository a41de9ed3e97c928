package once

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/wire"
)

// maxChunk is the maximum number of records in a chunk. Chunks have 256 KB, of
// which Next counts at least 64 bytes for each record.
const maxChunk = 4096

// Transfer copies every record of a shard to its new backup in chunks. The
// owner accepts no new keys of the shard until the transfer is finished.
type Transfer struct {
	store *RecordStore
	shard Shard
	id    uint64
	keys  []string
	part  int
	done  bool
}

// Chunk is one message of a transfer.
type Chunk struct {
	Shard Shard `msgpack:"s"`
	// ID increases with every transfer that the owner starts.
	ID   uint64 `msgpack:"i"`
	Part int    `msgpack:"p"`
	Last bool   `msgpack:"l,omitempty"`
	// UnknownFor is the remaining time in which keys without a record may have
	// run.
	UnknownFor time.Duration `msgpack:"b,omitempty"`
	Records    Records       `msgpack:"r,omitempty"`
}

// Records is the list of records in one chunk.
type Records []Record

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Records) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[Record](d, maxChunk, "records")
	return err
}

// Transfer starts the transfer of the records of a shard. It returns nil when the
// shard has changed, has no backup or is not owned by this node.
func (rs *RecordStore) Transfer(s Shard) *Transfer {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	st := rs.shards[s.id()]
	if st == nil || st.Shard != s || s.Owner != rs.Self || s.Backup.IsZero() {
		return nil
	}
	rs.seq++
	t := &Transfer{store: rs, shard: s, id: rs.seq, keys: make([]string, 0, len(st.records))}
	for key := range st.records {
		t.keys = append(t.keys, key)
	}
	slices.Sort(t.keys)
	return t
}

// Next returns the next chunk of about limit bytes, or false after the last one
// or when the shard has changed. Send a chunk only after the previous one was
// accepted.
func (t *Transfer) Next(limit int, now time.Time) (Chunk, bool) {
	if t.done {
		return Chunk{}, false
	}
	rs := t.store
	rs.mu.Lock()
	defer rs.mu.Unlock()
	at, st := rs.advanceClock(now), rs.shards[t.shard.id()]
	c := Chunk{Shard: t.shard, ID: t.id, Part: t.part, UnknownFor: max(0, st.unknownUntil-at)}
	if st.Shard != t.shard {
		return Chunk{}, false
	}
	for size := 0; len(t.keys) > 0 && size < limit && len(c.Records) < maxChunk; t.keys = t.keys[1:] {
		r := st.records[t.keys[0]]
		if r == nil || st.expired(r, at) {
			continue
		}
		rec := r.copy(Claim{Service: st.Service, Index: st.Index, Key: t.keys[0]}, at)
		size += len(rec.Key) + len(rec.Answer) + 64
		c.Records = append(c.Records, rec)
	}
	t.part++
	t.done = len(t.keys) == 0
	c.Last = t.done
	return c, true
}

// Finish marks the backup as synced, so that the owner accepts new keys of the
// shard. Call it after the backup has accepted the last chunk.
func (t *Transfer) Finish() {
	rs := t.store
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if st := rs.shards[t.shard.id()]; t.done && st.Shard == t.shard {
		st.synced = true
	}
}

// Import stores a chunk at the backup. The returned Shard is the latest one
// known to this node.
func (rs *RecordStore) Import(c Chunk, now time.Time) (Shard, Verdict) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	at := rs.advanceClock(now)
	if c.Shard.Backup == rs.Self {
		rs.updateShard(c.Shard, 0, at)
	}
	st := rs.shards[c.Shard.id()]
	switch {
	case st == nil:
		return Shard{}, VerdictNotBackup
	case st.Epoch > c.Shard.Epoch:
		return st.Shard, VerdictOldEpoch
	case st.Shard != c.Shard || st.Backup != rs.Self:
		return st.Shard, VerdictNotBackup
	default:
		return st.Shard, rs.importChunk(st, c, at)
	}
}

func (rs *RecordStore) importChunk(st *shardState, c Chunk, at time.Duration) Verdict {
	if c.ID > st.transfer && c.Part == 0 {
		st.transfer, st.part = c.ID, 0
	}
	switch {
	case c.ID != st.transfer || c.Part > st.part:
		return VerdictOutOfOrder
	case c.Part < st.part:
		return VerdictAccepted // a duplicate
	case rs.records+len(c.Records) > rs.maxRecords():
		return VerdictFull
	}
	for _, r := range c.Records {
		rs.merge(st, r, at)
	}
	st.part++
	if c.Last {
		st.synced = true
		st.unknownUntil = at + c.UnknownFor
	}
	return VerdictAccepted
}

// merge stores a transferred record unless a later state of its key is known.
func (rs *RecordStore) merge(st *shardState, in Record, at time.Duration) {
	if in.State == Running {
		in.State = Claimed
	}
	r := st.records[in.Key]
	if r == nil {
		r = rs.insert(st, in.Key, record{})
	} else if order := in.attempt().compare(r.attempt); order < 0 || order == 0 && in.State <= r.state || r.state == Finished {
		return
	}
	r.attempt, r.digest, r.state, r.expires = in.attempt(), in.Digest, in.State, at+in.Remaining
	if in.State == Finished {
		rs.answers.add(r, in.Answer, rs.maxAnswerBytes())
	}
}
