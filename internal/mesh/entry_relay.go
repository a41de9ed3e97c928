package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// minPassInterval is the shortest time between two messages to the same node. Entries
// that arrive meanwhile go together: when all nodes restart, hundreds come in a second.
const minPassInterval = 100 * time.Millisecond

// entryRelay passes entries of nodes of other regions on to the nodes of its region. It
// keeps them for nodes that cannot be reached until they can.
type entryRelay struct {
	*announcer

	mu sync.Mutex
	// waiting holds the names of the nodes whose entries are to be sent, by receiver.
	waiting map[string]map[string]bool
	// timer runs at due, when the next pass is; due is zero if none is. passed is the time
	// of the last one.
	timer       *time.Timer
	due, passed time.Time
}

// add passes an entry on to all nodes of this region.
func (r *entryRelay) add(ctx context.Context, e roster.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, to := range r.directory.others() {
		if to.Region == r.Region && to.Node != e.Node {
			r.keep(to.Node, e.Node)
		}
	}
	r.schedule(ctx, time.Until(r.passed.Add(minPassInterval)))
}

// keep notes that a node is to be sent an entry. The caller holds r.mu.
func (r *entryRelay) keep(to, node string) {
	if r.waiting == nil {
		r.waiting = make(map[string]map[string]bool)
	}
	if r.waiting[to] == nil {
		r.waiting[to] = make(map[string]bool)
	}
	r.waiting[to][node] = true
}

// schedule passes on what is waiting after a delay at the latest. The caller holds r.mu.
func (r *entryRelay) schedule(ctx context.Context, delay time.Duration) {
	due := time.Now().Add(max(delay, 0))
	if !r.due.IsZero() && !due.Before(r.due) {
		return
	}
	r.due = due
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(time.Until(due), func() { r.pass(ctx) })
}

func (r *entryRelay) pass(ctx context.Context) {
	r.mu.Lock()
	waiting := r.waiting
	r.waiting, r.due, r.passed = nil, time.Time{}, time.Now()
	r.mu.Unlock()
	for to, names := range waiting {
		go r.send(ctx, to, names)
	}
}

// send sends entries to one node, and keeps them if it cannot be reached.
func (r *entryRelay) send(ctx context.Context, name string, nodes map[string]bool) {
	to, known := r.directory.entry(name)
	if !known || ctx.Err() != nil {
		return
	}
	list := make(entries, 0, len(nodes))
	for node := range nodes {
		if e, ok := r.directory.entry(node); ok {
			list = append(list, e)
		}
	}
	err := r.sendEntries(ctx, to, list)
	if err == nil || ctx.Err() != nil {
		return
	}
	r.directory.markUnreachable(name, err, time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	for node := range nodes {
		r.keep(name, node)
	}
	r.schedule(ctx, updateRetry)
}

func (r *entryRelay) sendEntries(ctx context.Context, to roster.Entry, list entries) error {
	head, err := encode(message{Entries: list, Version: r.follower.version()})
	if err != nil {
		return err
	}
	reply, err := r.request(ctx, to, head)
	if err != nil || reply.Fault == nil {
		return err
	}
	// A node of an older version takes them one by one.
	for _, e := range list {
		if _, err := r.exchange(ctx, to, e); err != nil {
			return err
		}
	}
	return nil
}
