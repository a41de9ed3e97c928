package once

import (
	"cmp"
	"time"
)

// State is the state of an idempotency key.
type State uint8

const (
	// Claimed means that the owner may run the request or may have run it.
	Claimed State = iota + 1
	// Running means that this node is running the request.
	Running
	// Unknown means that the request may have run and will not be run again.
	Unknown
	// Finished means that the request ran. Its answer may be stored.
	Finished
)

// Outcome is the result of an attempt.
type Outcome uint8

const (
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeFinished means that a backend server answered.
	OutcomeFinished
	// OutcomeReleased means that the attempt provably did not run, so a later
	// attempt may run the request.
	OutcomeReleased
)

// Verdict is the result of a lookup, a claim or a transferred chunk.
type Verdict uint8

// Verdicts of Begin.
const (
	// VerdictNew means that the key is claimed at the owner and the backup must
	// accept the claim next.
	VerdictNew Verdict = iota + 1
	VerdictRunning
	VerdictFinished
	VerdictUnknown
	// VerdictReused means that the key was used for a different request.
	VerdictReused
	VerdictNotOwner
	// VerdictFull means that the record limit is reached.
	VerdictFull
	// VerdictNoBackup means that the backup does not have all records yet.
	VerdictNoBackup
)

// Verdicts of Claim and Import, beside VerdictUnknown and VerdictFull.
const (
	VerdictAccepted Verdict = iota + 32
	// VerdictOldEpoch means that a later epoch than the sender's is known.
	VerdictOldEpoch
	// VerdictNotBackup means that this node is not the backup of the sender's
	// epoch, or lacks records of it.
	VerdictNotBackup
	// VerdictOutOfOrder means that an earlier chunk is missing.
	VerdictOutOfOrder
)

// Claim identifies one attempt to run the request of a key. The pair of Epoch
// and Seq is unique among the attempts of a shard and increases with each
// attempt of a key.
type Claim struct {
	Service string `msgpack:"s"`
	Index   int    `msgpack:"x"`
	Epoch   uint64 `msgpack:"e"`
	// Seq is a sequence number of the owner's process. It keeps a delayed
	// release of one attempt from being applied to the next attempt of the key.
	Seq    uint64 `msgpack:"q"`
	Key    string `msgpack:"k"`
	Digest uint64 `msgpack:"d"`
}

func (c Claim) id() shardID { return shardID{c.Service, c.Index} }

func (c Claim) attempt() attempt { return attempt{c.Epoch, c.Seq} }

// Settlement reports the outcome of an attempt.
type Settlement struct {
	Claim
	Outcome Outcome `msgpack:"o"`
	// Answer is the encoded answer, or nil when it is not stored.
	Answer []byte `msgpack:"a,omitempty"`
}

// Record is a snapshot of the record of a key.
type Record struct {
	Claim
	State State `msgpack:"t"`
	// Remaining is the time from the snapshot until the record expires.
	Remaining time.Duration `msgpack:"l"`
	Answer    []byte        `msgpack:"a,omitempty"`
	// Created is true when the call that returned the record also created it.
	Created bool `msgpack:"-"`
}

type attempt struct{ epoch, seq uint64 }

func (a attempt) compare(b attempt) int {
	return cmp.Or(cmp.Compare(a.epoch, b.epoch), cmp.Compare(a.seq, b.seq))
}

// record is the stored form of a Record. Its times are those of the clock of
// the RecordStore.
type record struct {
	attempt attempt
	digest  uint64
	expires time.Duration
	// answer is nil when no answer is stored. It is set only in state Finished.
	answer []byte
	state  State
}
