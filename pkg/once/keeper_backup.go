package once

import "time"

// Claim stores a key at the backup before the owner runs it. Only
// VerdictAccepted allows the owner to run it. With VerdictUnknown the key has
// already been settled here. The Shard is the newest one known here.
func (k *RecordStore) Claim(c Claim, now time.Time) (Shard, Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, st := k.instant(now), k.shards[c.id()]
	if st == nil {
		return Shard{}, VerdictNotBackup
	}
	if c.Epoch < st.Epoch {
		return st.Shard, VerdictOldEpoch
	}
	if c.Epoch > st.Epoch || st.Backup != k.Self || !st.synced {
		return st.Shard, VerdictNotBackup
	}
	return st.Shard, k.claim(st, c, at)
}

func (k *RecordStore) claim(st *shardState, c Claim, at time.Duration) Verdict {
	r := st.records[c.Key]
	if r != nil && st.expired(r, at) {
		k.remove(st, c.Key)
		r = nil
	}
	switch {
	case r == nil && k.records >= k.maxRecords():
		return VerdictFull
	case r == nil:
		k.insert(st, c.Key, record{attempt: c.attempt(), digest: c.Digest, expires: at + retention, state: Claimed})
		return VerdictAccepted
	case r.state != Claimed || c.attempt().compare(r.attempt) < 0:
		return VerdictUnknown
	default:
		// The owner has given its earlier attempt up before it began this one.
		r.attempt, r.digest, r.expires = c.attempt(), c.Digest, at+retention
		return VerdictAccepted
	}
}

// Settle stores how an attempt ended, at the owner and at the backup. It
// ignores an attempt older than the newest known one of the key.
func (k *RecordStore) Settle(s Settlement, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, st := k.instant(now), k.shards[s.id()]
	if st == nil || !st.Has(k.Self) {
		return
	}
	r := st.records[s.Key]
	if r == nil {
		if s.Outcome == OutcomeReleased || k.records >= k.maxRecords() {
			return
		}
		r = k.insert(st, s.Key, record{attempt: s.attempt(), digest: s.Digest, expires: at + retention, state: Claimed})
	}
	if s.attempt().compare(r.attempt) >= 0 {
		k.settle(st, r, s, at)
	}
}

func (k *RecordStore) settle(st *shardState, r *record, s Settlement, at time.Duration) {
	switch {
	case r.state == Finished:
		// The first answer stays.
	case s.Outcome == OutcomeFinished:
		r.attempt, r.state = s.attempt(), Finished
		k.answers.add(r, s.Answer, k.maxAnswers())
	case r.state == Unknown:
		// The caller may have been told that the key will not be run again.
	case s.Outcome == OutcomeReleased:
		if st.frees(s, at) {
			k.remove(st, s.Key)
		}
	default:
		r.attempt, r.state = s.attempt(), Unknown
	}
}

// frees reports whether a release makes the key new again. A release by a
// previous owner does so only while no caller can have been told that the key
// will not be run again.
func (st *shardState) frees(s Settlement, at time.Duration) bool {
	if st.since != 0 {
		return s.Epoch >= st.since || at < st.graceUntil
	}
	return s.Epoch == st.Epoch
}
