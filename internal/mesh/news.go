package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

const (
	// newsTimeout bounds one message to a peer.
	newsTimeout = time.Second
	// newsRetry is how often peers that could not be told are tried again.
	newsRetry = time.Second
	// newsTries is how often a peer is told of an entry; one that comes back later
	// learns it from the probe that finds it.
	newsTries = 15
	// publishRetry and publishMost bound the wait between writes that failed.
	publishRetry = 300 * time.Millisecond
	publishMost  = 5 * time.Second
	// publishedPoll is how often a starting node looks whether its entry is written;
	// a write takes 10 ms.
	publishedPoll = 5 * time.Millisecond
	// maxConfiguration bounds a configuration that a peer passes on.
	maxConfiguration = 8 << 20
)

// announcer tells the registry and all other nodes what this node says of itself.
type announcer struct {
	*Options
	directory *directory
	follower  *follower
	peers     *peer.Client

	mu  sync.Mutex
	own roster.Entry
	// owed counts the tries for peers that do not know the newest entry.
	owed map[string]int
	// published is the change that the registry has, and first where and when the
	// first entry was written.
	published  uint64
	first      WriteResult
	publishing bool
	telling    bool
	// fetching is set while the configuration of another node is fetched.
	fetching atomic.Bool
}

// update changes what the node says of itself.
func (a *announcer) update(ctx context.Context, change func(e *roster.Entry)) {
	a.mu.Lock()
	change(&a.own)
	a.own.Change++
	own := a.own
	a.mu.Unlock()
	a.directory.merge([]roster.Entry{own}, time.Now())
	a.tellAll(ctx, nil)
	a.publish(ctx)
}

// record writes a change to the registry that no other node waits for.
func (a *announcer) record(ctx context.Context, change func(e *roster.Entry)) {
	a.mu.Lock()
	change(&a.own)
	a.own.Change++
	a.mu.Unlock()
	a.publish(ctx)
}

func (a *announcer) entry() roster.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.own
}

// tellAll sends the newest entry to every other node, but for those that know it.
func (a *announcer) tellAll(ctx context.Context, know map[string]bool) {
	a.mu.Lock()
	if a.owed == nil {
		a.owed = make(map[string]int)
	}
	for _, e := range a.directory.others() {
		if !know[e.Node] {
			a.owed[e.Node] = newsTries
		}
	}
	a.mu.Unlock()
	a.tellOwed(ctx)
}

// aware returns the nodes that find this one in the list of nodes by themselves,
// because they read it after the first entry of this node was written: those whose
// own first entry was written later, and those whose pause was not over then. A node
// that has written another entry since may have read the list earlier, unless it
// started with the whole system.
func (a *announcer) aware(members []Member) map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	aware := make(map[string]bool)
	for _, m := range members {
		later := a.first.Position > 0 && m.Position > a.first.Position && m.Change == 1
		pausing := a.first.Clock > 0 && m.Clock > 0 && m.Clock+freshPause >= a.first.Clock
		if later || pausing {
			aware[m.Node] = true
		}
	}
	return aware
}

// tellOwed tries the peers that do not know the newest entry, and again later
// while some are left.
func (a *announcer) tellOwed(ctx context.Context) {
	a.mu.Lock()
	names := make([]string, 0, len(a.owed))
	for name := range a.owed {
		names = append(names, name)
	}
	start := len(names) > 0 && !a.telling
	a.telling = a.telling || start
	a.mu.Unlock()
	for _, name := range names {
		go a.tell(ctx, name)
	}
	if start {
		time.AfterFunc(newsRetry, func() {
			a.mu.Lock()
			a.telling = false
			a.mu.Unlock()
			if ctx.Err() == nil {
				a.tellOwed(ctx)
			}
		})
	}
}

// tell sends the newest entry to one node and takes what it says of itself.
func (a *announcer) tell(ctx context.Context, name string) {
	to, ok := a.directory.entry(name)
	if !ok {
		a.settle(name, 0)
		return
	}
	own := a.entry()
	reply, err := a.exchange(ctx, to, own)
	if err != nil {
		a.failed(to, err)
		return
	}
	a.settle(name, own.Change)
	if reply == nil {
		return
	}
	a.hear(ctx, *reply)
	if reply.Ahead >= own.Start {
		a.overtake(ctx, reply.Ahead)
	}
}

// overtake makes this process count as later than an earlier one of its name.
func (a *announcer) overtake(ctx context.Context, start int64) {
	a.mu.Lock()
	behind := a.own.Start <= start
	if behind {
		a.own.Start = start + 1
	}
	a.mu.Unlock()
	if behind {
		a.Log.WithField("start", start).Warn("clock is behind that of an earlier process of this node")
		a.update(ctx, func(*roster.Entry) {})
	}
}

// tellBack answers the news of another node.
func (a *announcer) tellBack(n news) *news {
	back := &news{Entry: a.entry(), Version: a.follower.version()}
	if e, ok := a.directory.entry(n.Entry.Node); ok && e.Start > n.Entry.Start {
		back.Ahead = e.Start
	}
	return back
}

func (a *announcer) exchange(ctx context.Context, to roster.Entry, own roster.Entry) (*news, error) {
	head, err := encode(message{News: &news{Entry: own, Version: a.follower.version()}})
	if err != nil {
		return nil, err
	}
	reply, err := a.ask(ctx, to, head)
	if err != nil {
		return nil, err
	}
	return reply.News, nil
}

func (a *announcer) ask(ctx context.Context, to roster.Entry, head []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	answer, err := a.peers.Call(ctx, to.Addr, peer.Request{Head: head, AwaitAck: true})
	if err != nil {
		return response{}, err
	}
	defer answer.Body.Close()
	a.directory.reached(to.Node)
	var reply response
	return reply, msgpack.Unmarshal(answer.Head, &reply)
}

// settle notes that a peer knows a change; zero means that it needs none.
func (a *announcer) settle(name string, change uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if change == 0 || change == a.own.Change {
		delete(a.owed, name)
	}
}

// failed counts a try to tell a peer.
func (a *announcer) failed(to roster.Entry, cause error) {
	a.directory.unreachable(to.Node, cause, time.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	if left, owed := a.owed[to.Node]; owed && left > 1 {
		a.owed[to.Node] = left - 1
		return
	}
	delete(a.owed, to.Node)
}

// hear takes what another node says of itself.
func (a *announcer) hear(ctx context.Context, n news) {
	known := a.directory.merge([]roster.Entry{n.Entry}, time.Now())
	for _, e := range known {
		a.Log.WithField("node", e.Node).WithField("server", e.Server).WithField("state", string(e.State)).
			WithField("stopping", e.Stopping).WithField("change", e.Change).Info("node told of itself")
	}
	a.compare(ctx, n.Version, n.Entry)
}

// publish writes the newest entry to the registry, and again until it is there.
func (a *announcer) publish(ctx context.Context) {
	a.mu.Lock()
	start := !a.publishing
	a.publishing = true
	a.mu.Unlock()
	if start {
		go a.publishLoop(ctx)
	}
}

// awaitPublished waits until the registry has an entry of this node. The list of
// nodes is read only then: of two nodes that start together, one at least sees
// the other in it.
func (a *announcer) awaitPublished(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		done := a.published > 0
		a.mu.Unlock()
		if done {
			return
		}
		clock.Sleep(ctx, publishedPoll)
	}
}

func (a *announcer) publishLoop(ctx context.Context) {
	wait := publishRetry
	for {
		own := a.entry()
		written, err := a.Registry.Publish(ctx, own)
		a.mu.Lock()
		if err == nil {
			if a.published == 0 {
				a.first = written
			}
			a.published = own.Change
		}
		if err == nil && a.own.Change == own.Change || ctx.Err() != nil {
			a.publishing = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		if err != nil {
			a.Log.WithError(err).WithField("change", own.Change).Warn("own entry not written")
			clock.Sleep(ctx, retry.Jitter(wait, nil))
			wait = min(2*wait, publishMost)
		}
	}
}
