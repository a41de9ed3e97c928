package once

import "time"

// Begin looks up a key at the owner and claims it if it is new (VerdictNew). The
// owner must then send the claim to the backup and call Acknowledge if the
// backup accepts it, or Settle with OutcomeReleased if not.
func (rs *RecordStore) Begin(service, key string, digest uint64, now time.Time) (Record, Verdict) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	at := rs.advanceClock(now)
	c := Claim{Service: service, Index: ShardIndex(key), Key: key, Digest: digest}
	st := rs.shards[c.id()]
	if st == nil || st.Owner != rs.Self {
		return Record{Claim: c}, VerdictNotOwner
	}
	if r := st.records[key]; r != nil {
		if !st.expired(r, at) {
			return r.copy(c, at), st.verdict(r, digest, at)
		}
		rs.remove(st, key)
	}
	return rs.begin(st, c, at)
}

// begin decides about a key without a record.
func (rs *RecordStore) begin(st *shardState, c Claim, at time.Duration) (Record, Verdict) {
	unknown, full := at < st.unknownUntil, rs.records >= rs.maxRecords()
	switch {
	case unknown && full:
		return Record{Claim: c}, VerdictUnknown
	case unknown:
		// The caller receives the answer that the request will not be run again.
		// The record makes this hold after unknownUntil too.
		return rs.create(st, c, Unknown, at), VerdictUnknown
	case !st.synced:
		return Record{Claim: c}, VerdictNoBackup
	case full:
		return Record{Claim: c}, VerdictFull
	default:
		return rs.create(st, c, Claimed, at), VerdictNew
	}
}

func (rs *RecordStore) create(st *shardState, c Claim, state State, at time.Duration) Record {
	rs.seq++
	c.Epoch, c.Seq = st.Epoch, rs.seq
	r := rs.insert(st, c.Key, record{attempt: c.attempt(), digest: c.Digest, expires: at + retention, state: state})
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
	if r.attempt.epoch >= st.ownerSince || at < st.graceUntil {
		return VerdictRunning
	}
	// The claim is from the previous owner. Once the caller has received the
	// answer that the request will not be run again, a late release must not free
	// the key.
	r.state = Unknown
	return VerdictUnknown
}

// Acknowledge marks a claimed key as running and reports whether the owner may
// run its request. It returns false if the epoch has changed since Begin.
func (rs *RecordStore) Acknowledge(c Claim) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	st := rs.shards[c.id()]
	if st == nil || st.Owner != rs.Self || st.Epoch != c.Epoch {
		return false
	}
	r := st.records[c.Key]
	if r == nil || r.attempt != c.attempt() || r.state != Claimed {
		return false
	}
	r.state = Running
	return true
}

// Unsynced returns the shards owned by this node whose backup lacks records.
func (rs *RecordStore) Unsynced() []Shard {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var shards []Shard
	for _, st := range rs.shards {
		if st.Owner == rs.Self && !st.synced {
			shards = append(shards, st.Shard)
		}
	}
	return shards
}

// Synced reports whether the backup of a shard owned by this node has every
// record. It is false without a backup.
func (rs *RecordStore) Synced(s Shard) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	st := rs.shards[s.id()]
	return st != nil && st.Shard == s && st.Owner == rs.Self && !st.Backup.IsZero() && st.synced
}
