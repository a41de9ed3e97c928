package once

import "time"

// Begin looks a key up at the owner. With VerdictNew the key is claimed here;
// the owner sends the claim to the backup and calls Acknowledge when the
// backup has accepted it, or Settle with OutcomeReleased when it has not.
func (k *RecordStore) Begin(service, key string, digest uint64, now time.Time) (Record, Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.instant(now)
	c := Claim{Service: service, Index: ShardIndex(key), Key: key, Digest: digest}
	st := k.shards[c.id()]
	if st == nil || st.Owner != k.Self {
		return Record{Claim: c}, VerdictNotOwner
	}
	if r := st.records[key]; r != nil {
		if !st.expired(r, at) {
			return r.copy(c, at), st.verdict(r, digest, at)
		}
		k.remove(st, key)
	}
	return k.begin(st, c, at)
}

// begin handles a key without a record.
func (k *RecordStore) begin(st *shardState, c Claim, at time.Duration) (Record, Verdict) {
	blind, full := at < st.blindUntil, k.records >= k.maxRecords()
	switch {
	case blind && full:
		return Record{Claim: c}, VerdictUnknown
	case blind:
		// The caller is told that the key will not be run again, also after
		// the blind window.
		return k.create(st, c, Unknown, at), VerdictUnknown
	case !st.synced:
		return Record{Claim: c}, VerdictNoBackup
	case full:
		return Record{Claim: c}, VerdictFull
	default:
		return k.create(st, c, Claimed, at), VerdictNew
	}
}

func (k *RecordStore) create(st *shardState, c Claim, state State, at time.Duration) Record {
	k.seq++
	c.Epoch, c.Seq = st.Epoch, k.seq
	r := k.insert(st, c.Key, record{attempt: c.attempt(), digest: c.Digest, expires: at + retention, state: state})
	cp := r.copy(c, at)
	cp.Created = true
	return cp
}

func (r *record) copy(c Claim, at time.Duration) Record {
	c.Epoch, c.Seq, c.Digest = r.attempt.epoch, r.attempt.seq, r.digest
	return Record{Claim: c, State: r.state, Remaining: r.expires - at, Answer: r.answer}
}

func (st *shardState) verdict(r *record, digest uint64, at time.Duration) Verdict {
	if r.digest != digest {
		return VerdictReused
	}
	switch r.state {
	case Finished:
		return VerdictFinished
	case Unknown:
		return VerdictUnknown
	}
	if r.attempt.epoch >= st.since || at < st.graceUntil {
		return VerdictRunning
	}
	// The claim is the previous owner's. A release that comes after the caller
	// was told that the key will not be run again must not free the key.
	r.state = Unknown
	return VerdictUnknown
}

// Acknowledge reports whether the owner may run the claimed key now. It
// returns false when the epoch has changed since Begin.
func (k *RecordStore) Acknowledge(c Claim) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	st := k.shards[c.id()]
	if st == nil || st.Owner != k.Self || st.Epoch != c.Epoch {
		return false
	}
	r := st.records[c.Key]
	if r == nil || r.attempt != c.attempt() || r.state != Claimed {
		return false
	}
	r.state = Running
	return true
}

// Unsynced returns the shards owned here whose backup lacks records.
func (k *RecordStore) Unsynced() []Shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	var shards []Shard
	for _, st := range k.shards {
		if st.Owner == k.Self && !st.synced {
			shards = append(shards, st.Shard)
		}
	}
	return shards
}

// Synced reports whether the backup of a shard owned here holds every record.
// It is false for an owner without a backup.
func (k *RecordStore) Synced(s Shard) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	st := k.shards[s.id()]
	return st != nil && st.Shard == s && st.Owner == k.Self && !st.Backup.IsZero() && st.synced
}
