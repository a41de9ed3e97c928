package once

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/wire"
)

// maxChunk bounds the records of a chunk: Next counts at least 64 bytes for
// each, and chunks have 256 KB.
const maxChunk = 4096

// Transfer sends every record of a shard to its new backup, chunk by chunk.
// The owner accepts no new key of the shard meanwhile.
type Transfer struct {
	keeper *RecordStore
	shard  Shard
	id     uint64
	keys   []string
	part   int
	done   bool
}

// Chunk is a bounded part of a transfer.
type Chunk struct {
	Shard Shard `msgpack:"s"`
	// ID is larger than that of any transfer the owner began before.
	ID   uint64 `msgpack:"i"`
	Part int    `msgpack:"p"`
	Last bool   `msgpack:"l,omitempty"`
	// UnknownFor is the rest of the time in which absent keys may have run.
	UnknownFor   time.Duration `msgpack:"b,omitempty"`
	Records Records       `msgpack:"r,omitempty"`
}

// Records are those of one chunk.
type Records []Record

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Records) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[Record](d, maxChunk, "records")
	return err
}

// Transfer starts to copy a shard. It returns nil when the shard has changed
// or this node does not own it.
func (k *RecordStore) Transfer(s Shard) *Transfer {
	k.mu.Lock()
	defer k.mu.Unlock()
	st := k.shards[s.id()]
	if st == nil || st.Shard != s || s.Owner != k.Self || s.Backup.IsZero() {
		return nil
	}
	k.seq++
	t := &Transfer{keeper: k, shard: s, id: k.seq, keys: make([]string, 0, len(st.records))}
	for key := range st.records {
		t.keys = append(t.keys, key)
	}
	slices.Sort(t.keys)
	return t
}

// Next returns the next chunk of about limit bytes, or false after the last.
// Send a chunk only after the one before it was accepted.
func (t *Transfer) Next(limit int, now time.Time) (Chunk, bool) {
	if t.done {
		return Chunk{}, false
	}
	k := t.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	at, st := k.instant(now), k.shards[t.shard.id()]
	c := Chunk{Shard: t.shard, ID: t.id, Part: t.part, UnknownFor: max(0, st.blindUntil-at)}
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

// Finish opens the shard for new keys; call it when the backup has accepted the
// last chunk.
func (t *Transfer) Finish() {
	k := t.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if st := k.shards[t.shard.id()]; t.done && st.Shard == t.shard {
		st.synced = true
	}
}

// Import stores a chunk at the backup. The Shard is the newest one known here.
func (k *RecordStore) Import(c Chunk, now time.Time) (Shard, Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.instant(now)
	if c.Shard.Backup == k.Self {
		k.adopt(c.Shard, 0, at)
	}
	st := k.shards[c.Shard.id()]
	switch {
	case st == nil:
		return Shard{}, VerdictNotBackup
	case st.Epoch > c.Shard.Epoch:
		return st.Shard, VerdictOldEpoch
	case st.Shard != c.Shard || st.Backup != k.Self:
		return st.Shard, VerdictNotBackup
	default:
		return st.Shard, k.receive(st, c, at)
	}
}

func (k *RecordStore) receive(st *shardState, c Chunk, at time.Duration) Verdict {
	if c.ID > st.transfer && c.Part == 0 {
		st.transfer, st.part = c.ID, 0
	}
	switch {
	case c.ID != st.transfer || c.Part > st.part:
		return VerdictOutOfOrder
	case c.Part < st.part:
		return VerdictAccepted // a duplicate
	case k.records+len(c.Records) > k.maxRecords():
		return VerdictFull
	}
	for _, r := range c.Records {
		k.merge(st, r, at)
	}
	st.part++
	if c.Last {
		st.synced = true
		st.blindUntil = at + c.UnknownFor
	}
	return VerdictAccepted
}

// merge stores a transferred record unless a newer state of its key is known.
func (k *RecordStore) merge(st *shardState, in Record, at time.Duration) {
	if in.State == Running {
		in.State = Claimed
	}
	r := st.records[in.Key]
	if r == nil {
		r = k.insert(st, in.Key, record{})
	} else if order := in.attempt().compare(r.attempt); order < 0 || order == 0 && in.State <= r.state || r.state == Finished {
		return
	}
	r.attempt, r.digest, r.state, r.expires = in.attempt(), in.Digest, in.State, at+in.Remaining
	if in.State == Finished {
		k.answers.add(r, in.Answer, k.maxAnswers())
	}
}
