package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

const (
	// handOverGrace is how long the claims of an owner are treated as running
	// after it has handed over. No request lives longer than 30 s.
	handOverGrace = 30 * time.Second
	// maxRequestTime bounds the run of a keyed request without a deadline.
	maxRequestTime = 30 * time.Second
	// syncWait bounds how long a new key waits for the transfer to a new backup.
	// The transfer takes milliseconds, but with a limit of 500 ms keys were
	// refused on a busy machine.
	syncWait = 3 * time.Second
	// maxOwnerTries bounds how often a request is sent to owners of its key. A
	// rolling replacement changes a shard twice within milliseconds: by the
	// hand-over and by the new backup.
	maxOwnerTries = 8
	// firstOwnerPause is the pause before a request is sent again to an owner that
	// refused it. It doubles up to maxOwnerPause. Together the pauses outlast the
	// replacement of a dead owner, which takes about 2 s.
	firstOwnerPause = 100 * time.Millisecond
	maxOwnerPause   = 800 * time.Millisecond
)

// Controller runs requests with an idempotency key at most once and passes all
// others to Next. Set the exported fields before the first call.
type Controller struct {
	// Records stores the idempotency records; its Self identifies this process.
	Records *once.RecordStore
	Members Members
	Network Network
	Table   Table
	// Next runs a request at a backend server.
	Next call.Server
	// Now overrides time.Now unless nil.
	Now func() time.Time
	// Log is the logger; nil selects the default one.
	Log log.Interface

	maps mapCache
	// tasks counts the attempts, messages and repairs in progress.
	tasks tasks
	// repairing is true while repair rounds run; repairRequested requests another
	// round.
	repairing, repairRequested atomic.Bool

	mu sync.Mutex
	// changed is closed by notifyWaiters when a backup has received all records or
	// a settlement has arrived. It is nil while no request waits.
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

// Serve implements call.Server. The entry node, which received a request from its
// caller, forwards it to the owner of its key with the Epoch of the shard. A request
// with an Epoch is served as the owner or refused, and not forwarded again.
func (c *Controller) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	if !r.Keyed() {
		return c.Next.Serve(ctx, r)
	}
	if len(r.Key) > once.MaxKeyBytes {
		return nil, fault.New(fault.KindBadRequest, "Idempotency-Key has %d bytes, the limit is %d", len(r.Key), once.MaxKeyBytes).
			WithRemedy("send a shorter key")
	}
	if r.Epoch != 0 {
		return c.serveAsOwner(ctx, r)
	}
	return c.serveAsEntry(ctx, r)
}

// scopedKey prefixes the key with the tenant, so that tenants do not share keys.
func scopedKey(r call.Request) string { return r.Tenant + "\x00" + r.Key }

// serveAsEntry forwards a request to the owner of its key. If that node refuses
// and the same or another owner may accept, the shard map is read again from the
// table and the request is sent again, until its deadline is near.
func (c *Controller) serveAsEntry(ctx context.Context, r call.Request) (*call.Answer, error) {
	m, err := c.load(ctx, r.Service, time.Time{})
	if err != nil {
		return nil, err
	}
	s, pause := m.Shard(scopedKey(r)), firstOwnerPause
	for tries := 1; ; tries++ {
		answer, err := c.forward(ctx, r.WithEpoch(s.Epoch), s)
		if err == nil || !mayAcceptLater(fault.As(err)) || tries == maxOwnerTries {
			return answer, err
		}
		after, tried := c.now(), s.Epoch
		c.notifyNewOwner(m, s)
		read, readErr := c.load(ctx, r.Service, after)
		if readErr == nil {
			m, s = read, read.Shard(scopedKey(r))
		}
		if s.Epoch > tried {
			continue
		}
		if !c.recoverable(s, readErr == nil) || !waitFor(ctx, pause) {
			return nil, err
		}
		pause = min(2*pause, maxOwnerPause)
	}
}

// recoverable reports whether the pair of a shard may accept keys again without an
// operator. While the table cannot be read, a lost process is not replaced.
func (c *Controller) recoverable(s once.Shard, tableReadable bool) bool {
	owner := c.Members.Status(s.Owner)
	backup := owner
	if !s.Backup.IsZero() {
		backup = c.Members.Status(s.Backup)
	}
	if !tableReadable {
		return max(owner, backup) < once.Dead
	}
	return min(owner, backup) != once.Dead
}

// waitFor waits unless the request's context then ends before a claim could be
// confirmed.
func waitFor(ctx context.Context, pause time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < pause+claimTimeout {
		return false
	}
	return clock.Sleep(ctx, pause)
}

// mayAcceptLater reports whether another owner, or the same one later, may accept the
// refused request.
func mayAcceptLater(f *fault.Error) bool {
	switch f.Kind {
	case fault.KindNoOwner, fault.KindUnreachable, fault.KindStopped:
		return f.Outcome == fault.Refused
	default:
		return false
	}
}

func (c *Controller) forward(ctx context.Context, r call.Request, s once.Shard) (*call.Answer, error) {
	if s.Owner == c.Records.Self {
		return c.serveAsOwner(ctx, r)
	}
	peer, ok := c.Members.Peer(s.Owner)
	if !ok {
		return nil, fault.New(fault.KindNoOwner, "owner %s of the key is not a member now", s.Owner.ID)
	}
	return c.Network.Call(ctx, peer, r)
}

// serveAsOwner serves a keyed request as the owner of its shard.
func (c *Controller) serveAsOwner(ctx context.Context, r call.Request) (*call.Answer, error) {
	key := scopedKey(r)
	if s, _ := c.Records.Shard(r.Service, once.ShardIndex(key)); s.Epoch < r.Epoch {
		// The entry node knows a later epoch than this one.
		if _, err := c.load(ctx, r.Service, c.now()); err != nil {
			return nil, err
		}
		c.startRepair()
	}
	digest := once.Digest(r.Method, r.URI, r.Body)
	record, verdict := c.begin(ctx, r.Service, key, digest)
	if verdict == once.VerdictNew {
		return c.attempt(ctx, r, record.Claim)
	}
	if record.Created {
		// Begin has recorded that the outcome of the key is unknown. The backup needs
		// the same record, so that the request does not run after a promotion.
		c.settle(record.Claim, once.OutcomeUnknown, nil)
	}
	if verdict == once.VerdictFinished && record.Answer != nil {
		return replay(record.Answer, r)
	}
	return nil, c.refusal(verdict, r)
}

// begin looks up the key and claims it if it is new; see once.RecordStore.Begin. A
// new key waits for a limited time for the transfer of records to a new backup, and
// a key claimed by the previous owner for its settlement, at most handOverGrace.
func (c *Controller) begin(ctx context.Context, service, key string, digest uint64) (once.Record, once.Verdict) {
	var timeout <-chan time.Time
	for {
		changed := c.changeSignal()
		record, verdict := c.Records.Begin(service, key, digest, c.now())
		wait := c.verdictWait(record, verdict)
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

// verdictWait returns how long to wait for a verdict to change, or zero if it
// is final.
func (c *Controller) verdictWait(record once.Record, verdict once.Verdict) time.Duration {
	switch verdict {
	case once.VerdictNoBackup:
		c.startRepair()
		return syncWait
	case once.VerdictRunning:
		if s, _ := c.Records.Shard(record.Service, record.Index); record.Epoch < s.Epoch {
			return handOverGrace
		}
	}
	return 0
}

// changeSignal returns a channel that the next call of notifyWaiters closes.
func (c *Controller) changeSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// notifyWaiters wakes the requests that wait for the transfer to a backup or for a
// settlement.
func (c *Controller) notifyWaiters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// refusal returns the error for a request that a verdict forbids to run.
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
		return fault.New(fault.KindOverloaded, "node %s has reached its limit of keys", c.Records.Self.ID).WithWait(10 * time.Second)
	case once.VerdictNoBackup:
		return fault.New(fault.KindNoOwner, "the backup of the key's shard is being replaced")
	default:
		return fault.New(fault.KindNoOwner, "node %s does not own the key", c.Records.Self.ID)
	}
}

// Wait returns nil when no attempt, message or repair is in progress, or an error
// when ctx is done.
func (c *Controller) Wait(ctx context.Context) error { return c.tasks.Wait(ctx) }
