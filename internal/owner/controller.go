package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

const (
	// handOverGrace is how long claims of an owner that has handed over count
	// as running: no request lives longer than 30 s.
	handOverGrace = 30 * time.Second
	// maxLife bounds a keyed request without a deadline.
	maxLife = 30 * time.Second
	// syncWait bounds how long a new key waits for the copy to a new backup. The
	// copy takes milliseconds; at 500 ms keys were refused on a busy machine.
	syncWait = 3 * time.Second
	// settleWait bounds how long a key that runs under a claim of an earlier
	// epoch waits for its settlement, which the owner before may just have sent.
	settleWait = time.Second
	// maxMoves bounds how many owners or pairs a request tries. A rolling
	// replacement changes a shard twice within milliseconds: the hand-over and
	// the new backup.
	maxMoves = 4
)

// Controller runs keyed requests at most once and passes all others on. Set
// the exported fields before the first call.
type Controller struct {
	// Records holds the records; its Self is this process.
	Records  *once.RecordStore
	Members Members
	Network Network
	Table   Table
	// Next places a request on a backend server.
	Next call.Server
	// Now replaces time.Now unless nil.
	Now func() time.Time
	// Log is nil for the default logger.
	Log log.Interface

	rows rows
	// tasks counts attempts, settlements and repairs under way.
	tasks tasks
	// repairing is true while a repair runs; again asks for another one.
	repairing, again atomic.Bool

	mu sync.Mutex
	// changed is closed and replaced when a backup holds all records or a
	// settlement has come; nil when nothing waits for it.
	changed chan struct{}
}

func (c *Controller) log() log.Interface {
	if c.Log != nil {
		return c.Log
	}
	return log.Log
}

func (c *Controller) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

// Serve implements call.Server. A request with an Epoch comes from an entry
// node and is answered here as the owner or not at all.
func (c *Controller) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	if !r.Keyed() {
		return c.Next.Serve(ctx, r)
	}
	if len(r.Key) > once.MaxKeyBytes {
		return nil, fault.New(fault.KindBadRequest, "Idempotency-Key has %d bytes, the limit is %d", len(r.Key), once.MaxKeyBytes).
			WithRemedy("send a shorter key")
	}
	if r.Epoch != 0 {
		return c.own(ctx, r)
	}
	return c.enter(ctx, r)
}

// scopedKey keeps the keys of tenants apart.
func scopedKey(r call.Request) string { return r.Tenant + "\x00" + r.Key }

// enter finds the owner of a key and has it answer. A refusal by a node whose
// shard has moved is followed by a look at the table.
func (c *Controller) enter(ctx context.Context, r call.Request) (*call.Answer, error) {
	var tried once.Shard
	var refusal error
	var after time.Time
	for range maxMoves {
		m, err := c.load(ctx, r.Service, after)
		if err != nil {
			return nil, firstError(refusal, err)
		}
		s := m.Shard(scopedKey(r))
		if s.Epoch <= tried.Epoch {
			break
		}
		answer, err := c.forward(ctx, r.WithEpoch(s.Epoch), s)
		if err == nil || !movable(fault.As(err)) {
			return answer, err
		}
		tried, refusal, after = s, err, c.now()
		c.poke(m, s)
	}
	return nil, refusal
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// movable reports whether another owner may accept a refused request.
func movable(f *fault.Error) bool {
	switch f.Kind {
	case fault.KindNoOwner, fault.KindUnreachable, fault.KindStopped:
		return f.Outcome == fault.Refused
	default:
		return false
	}
}

func (c *Controller) forward(ctx context.Context, r call.Request, s once.Shard) (*call.Answer, error) {
	if s.Owner == c.Records.Self {
		return c.own(ctx, r)
	}
	peer, ok := c.Members.Peer(s.Owner)
	if !ok {
		return nil, fault.New(fault.KindNoOwner, "owner %s of the key is not a member now", s.Owner.ID)
	}
	return c.Network.Call(ctx, peer, r)
}

// own answers a keyed request as the owner of its shard.
func (c *Controller) own(ctx context.Context, r call.Request) (*call.Answer, error) {
	key := scopedKey(r)
	if s, _ := c.Records.Shard(r.Service, once.ShardIndex(key)); s.Epoch < r.Epoch {
		// The entry node knows more than this one.
		if _, err := c.load(ctx, r.Service, c.now()); err != nil {
			return nil, err
		}
		c.wake()
	}
	digest := once.Digest(r.Method, r.URI, r.Body)
	record, verdict := c.begin(ctx, r.Service, key, digest)
	if verdict == once.VerdictNew {
		return c.attempt(ctx, r, record.Claim)
	}
	if record.Created {
		c.settle(record.Claim, once.OutcomeUnknown, nil)
	}
	if verdict == once.VerdictFinished && record.Answer != nil {
		return replay(record.Answer, r)
	}
	return nil, c.refusal(verdict, r)
}

// begin looks the key up. A new key waits a little for the copy of records to
// a new backup, and a key of the owner before for its settlement.
func (c *Controller) begin(ctx context.Context, service, key string, digest uint64) (once.Record, once.Verdict) {
	var timeout <-chan time.Time
	for {
		changed := c.changeSignal()
		record, verdict := c.Records.Begin(service, key, digest, c.now())
		wait := c.wait(record, verdict)
		if wait == 0 {
			return record, verdict
		}
		if timeout == nil {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-timeout:
			return record, verdict
		case <-ctx.Done():
			return record, verdict
		}
	}
}

// wait returns how long a verdict may soon be another one.
func (c *Controller) wait(record once.Record, verdict once.Verdict) time.Duration {
	switch verdict {
	case once.VerdictNoBackup:
		c.wake()
		return syncWait
	case once.VerdictRunning:
		if s, _ := c.Records.Shard(record.Service, record.Index); record.Epoch < s.Epoch {
			return settleWait
		}
	}
	return 0
}

func (c *Controller) changeSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// signal wakes the keys that wait for a backup or a settlement.
func (c *Controller) signal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

func (c *Controller) refusal(v once.Verdict, r call.Request) error {
	switch v {
	case once.VerdictRunning:
		return fault.New(fault.KindStillRunning, "key %q is still running", r.Key)
	case once.VerdictFinished:
		return fault.New(fault.KindFinished, "key %q has run; its answer is not kept", r.Key)
	case once.VerdictUnknown:
		return fault.New(fault.KindOutcomeUnknown, "key %q may have run", r.Key)
	case once.VerdictReused:
		return fault.New(fault.KindKeyReused, "key %q belongs to a request with another method, path or body", r.Key)
	case once.VerdictFull:
		return fault.New(fault.KindOverloaded, "node %s holds the most keys it may", c.Records.Self.ID).WithWait(10 * time.Second)
	case once.VerdictNoBackup:
		return fault.New(fault.KindNoOwner, "the backup of the key's shard is being replaced")
	default:
		return fault.New(fault.KindNoOwner, "node %s does not own the key", c.Records.Self.ID)
	}
}

// Wait returns when no attempt, settlement or repair is under way, or with an
// error when ctx is done.
func (c *Controller) Wait(ctx context.Context) error { return c.tasks.Wait(ctx) }
