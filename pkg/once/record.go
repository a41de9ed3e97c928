package once

import (
	"cmp"
	"time"
)

// State is the state of a key.
type State uint8

const (
	// Claimed means that the owner may run the key or may have run it.
	Claimed State = iota + 1
	// Running means that this node runs the key.
	Running
	// Unknown means that the key may have run and will not be run again.
	Unknown
	// Finished means that the key ran; its answer may have been kept.
	Finished
)

// Outcome says how an attempt ended.
type Outcome uint8

const (
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeFinished means that a server answered.
	OutcomeFinished
	// OutcomeReleased means that the attempt provably did not run; the key may
	// be run by a later attempt.
	OutcomeReleased
)

// Verdict is the decision about a key or a message.
type Verdict uint8

// Verdicts of Begin.
const (
	// VerdictNew means that the owner may claim the key.
	VerdictNew Verdict = iota + 1
	VerdictRunning
	VerdictFinished
	VerdictUnknown
	// VerdictReused means that the key belongs to another request.
	VerdictReused
	VerdictNotOwner
	// VerdictFull means that the bound of records is reached.
	VerdictFull
	// VerdictNoBackup means that the backup does not hold all records yet.
	VerdictNoBackup
)

// Verdicts of Claim and Import, beside VerdictUnknown and VerdictFull.
const (
	VerdictAccepted Verdict = iota + 32
	// VerdictOldEpoch means that the sender's epoch is over.
	VerdictOldEpoch
	// VerdictNotBackup means that this node is not a backup that holds all
	// records of the sender's epoch.
	VerdictNotBackup
	// VerdictOutOfOrder means that a chunk is missing before this one.
	VerdictOutOfOrder
)

// Claim identifies one attempt to run a key. Epoch and Seq together are unique
// among the attempts of a shard; a later attempt of a key has a larger pair.
type Claim struct {
	Service string `msgpack:"s"`
	Index   int    `msgpack:"x"`
	Epoch   uint64 `msgpack:"e"`
	// Seq counts the attempts of the owner's process. It tells a delayed
	// release of one attempt from the next attempt of the same key.
	Seq    uint64 `msgpack:"q"`
	Key    string `msgpack:"k"`
	Digest uint64 `msgpack:"d"`
}

func (c Claim) id() shardID { return shardID{c.Service, c.Index} }

func (c Claim) attempt() attempt { return attempt{c.Epoch, c.Seq} }

// Settlement tells how an attempt ended.
type Settlement struct {
	Claim
	Outcome Outcome `msgpack:"o"`
	// Answer is opaque; nil when it is not kept.
	Answer []byte `msgpack:"a,omitempty"`
}

// Record is a copy of what is known about a key.
type Record struct {
	Claim
	State State `msgpack:"t"`
	// Remaining is the rest of the window when the copy was made.
	Remaining   time.Duration `msgpack:"l"`
	Answer []byte        `msgpack:"a,omitempty"`
	// Created marks a record that this call created.
	Created bool `msgpack:"-"`
}

type attempt struct{ epoch, seq uint64 }

func (a attempt) compare(b attempt) int {
	return cmp.Or(cmp.Compare(a.epoch, b.epoch), cmp.Compare(a.seq, b.seq))
}

// record is the stored form; times are relative to the keeper's first instant.
type record struct {
	attempt attempt
	digest  uint64
	expires time.Duration
	// answer is nil when no answer is kept; it is only set when Finished.
	answer []byte
	state  State
}
