package once

import "time"

// Claim stores a claim at the backup before the owner runs the request. The
// owner may run it only after VerdictAccepted. VerdictUnknown means that the key
// has already been settled at this node. The returned Shard is the latest one
// known to this node.
func (rs *RecordStore) Claim(c Claim, now time.Time) (Shard, Verdict) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	at, st := rs.advanceClock(now), rs.shards[c.id()]
	if st == nil {
		return Shard{}, VerdictNotBackup
	}
	if c.Epoch < st.Epoch {
		return st.Shard, VerdictOldEpoch
	}
	if c.Epoch > st.Epoch || st.Backup != rs.Self || !st.synced {
		return st.Shard, VerdictNotBackup
	}
	return st.Shard, rs.claim(st, c, at)
}

func (rs *RecordStore) claim(st *shardState, c Claim, at time.Duration) Verdict {
	r := st.records[c.Key]
	if r != nil && st.expired(r, at) {
		rs.remove(st, c.Key)
		r = nil
	}
	switch {
	case r == nil && rs.records >= rs.maxRecords():
		return VerdictFull
	case r == nil:
		rs.insert(st, c.Key, record{attempt: c.attempt(), digest: c.Digest, expires: at + retention, state: Claimed})
		return VerdictAccepted
	case r.state != Claimed || c.attempt().compare(r.attempt) < 0:
		return VerdictUnknown
	default:
		// The owner starts an attempt only after it has ended the previous one.
		r.attempt, r.digest, r.expires = c.attempt(), c.Digest, at+retention
		return VerdictAccepted
	}
}

// Settle stores the outcome of an attempt. It is called at the owner and at the
// backup. Attempts older than the latest known one of the key are ignored.
func (rs *RecordStore) Settle(s Settlement, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	at, st := rs.advanceClock(now), rs.shards[s.id()]
	if st == nil || !st.Has(rs.Self) {
		return
	}
	r := st.records[s.Key]
	if r == nil {
		if s.Outcome == OutcomeReleased || rs.records >= rs.maxRecords() {
			return
		}
		r = rs.insert(st, s.Key, record{attempt: s.attempt(), digest: s.Digest, expires: at + retention, state: Claimed})
	}
	if s.attempt().compare(r.attempt) >= 0 {
		rs.settle(st, r, s, at)
	}
}

func (rs *RecordStore) settle(st *shardState, r *record, s Settlement, at time.Duration) {
	switch {
	case r.state == Finished:
		// The first answer is final.
	case s.Outcome == OutcomeFinished:
		r.attempt, r.state = s.attempt(), Finished
		rs.answers.add(r, s.Answer, rs.maxAnswerBytes())
	case r.state == Unknown:
		// A caller may have received the answer that the request will not be run
		// again.
	case s.Outcome == OutcomeReleased:
		if st.acceptsRelease(s, at) {
			rs.remove(st, s.Key)
		}
	default:
		r.attempt, r.state = s.attempt(), Unknown
	}
}

// acceptsRelease reports whether a release frees the key for a new attempt. A
// release by a previous owner does so only during the grace period, before any
// caller can have received the answer that the request will not be run again.
func (st *shardState) acceptsRelease(s Settlement, at time.Duration) bool {
	if st.ownerSince != 0 {
		return s.Epoch >= st.ownerSince || at < st.graceUntil
	}
	return s.Epoch == st.Epoch
}
