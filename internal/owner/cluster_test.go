package owner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

var errTableDown = errors.New("table does not answer")

// fakeTable is an in-memory Table. It can be down, or lose the reply of a write.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string][]byte
	// version counts the writes; it is the ETag of every row.
	version   int
	down      bool
	loseReply bool
}

func (t *fakeTable) Get(_ context.Context, key string) ([]byte, string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.rows[key] == nil {
		return nil, "", map[bool]error{true: errTableDown}[t.down]
	}
	return t.rows[key], fmt.Sprint(t.version), nil
}

func (t *fakeTable) Create(_ context.Context, key string, value []byte) (string, error) {
	return t.put(key, value, func() bool { return t.rows[key] == nil })
}

func (t *fakeTable) CompareAndSwap(_ context.Context, key, etag string, value []byte) (string, error) {
	return t.put(key, value, func() bool { return etag == fmt.Sprint(t.version) })
}

func (t *fakeTable) put(key string, value []byte, allowed func() bool) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return "", errTableDown
	}
	if !allowed() {
		return "", fault.New(fault.KindConflict, "row %s has changed", key)
	}
	if t.rows == nil {
		t.rows = map[string][]byte{}
	}
	t.rows[key] = value
	t.version++
	if t.loseReply {
		t.loseReply = false
		return "", errTableDown
	}
	return fmt.Sprint(t.version), nil
}

func (t *fakeTable) set(down, loseReply bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down, t.loseReply = down, loseReply
}

// cluster implements the membership. Its nodes call each other directly unless
// they have transports.
type cluster struct {
	mu       sync.Mutex
	members  []once.Member
	status   map[once.Ref]once.Status
	nodes    map[string]*testNode
	addrs    map[string]string
	table    *fakeTable
	executed map[string]int
}

type testNode struct {
	*Controller
	*cluster
	// dropKind is the kind of control message that the node fails to send.
	dropKind atomic.Value
	// beforeDelivery and afterDelivery are called before and after each control
	// message that the node sends is handled. Both may be nil.
	beforeDelivery, afterDelivery func(kind string)
	// next replaces the backend server unless nil.
	next func(ctx context.Context, r call.Request) (*call.Answer, error)
}

func newCluster(t testing.TB, ids ...string) *cluster {
	c := &cluster{status: map[once.Ref]once.Status{}, nodes: map[string]*testNode{}, addrs: map[string]string{}, table: &fakeTable{}, executed: map[string]int{}}
	for _, id := range ids {
		ref := once.Ref{ID: id, Incarnation: 1}
		c.members = append(c.members, once.Member{Ref: ref, Region: "poa", Domain: id[:1]})
		n := &testNode{cluster: c}
		n.Controller = &Controller{Records: &once.RecordStore{Self: ref}, Members: c, Network: n, Table: c.table, Next: n}
		c.nodes[id] = n
	}
	t.Cleanup(c.waitIdle)
	return c
}

// waitIdle returns when no node has any task in progress.
func (c *cluster) waitIdle() {
	for idleRounds := 0; idleRounds < 2; idleRounds++ {
		for _, n := range c.nodes {
			n.tasks.mu.Lock()
			if n.tasks.n > 0 {
				idleRounds = -1
			}
			n.tasks.mu.Unlock()
			_ = n.Wait(context.Background())
		}
	}
}

func (c *cluster) runs(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executed[key]
}

func (c *cluster) Status(r once.Ref) once.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.status[r]; ok {
		return s
	}
	return once.Alive
}

func (c *cluster) setStatus(r once.Ref, s once.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status[r] = s
}

func (c *cluster) Members() []once.Member {
	var alive []once.Member
	for _, m := range c.members {
		if c.Status(m.Ref) == once.Alive {
			alive = append(alive, m)
		}
	}
	return alive
}

func (c *cluster) Peer(r once.Ref) (node.Peer, bool) {
	return node.Peer{ID: r.ID, Addr: c.addrs[r.ID]}, c.Status(r) < once.Replaced
}

func (n *testNode) Control(ctx context.Context, peer node.Peer, kind string, body []byte) ([]byte, error) {
	to := n.nodes[peer.ID]
	if kind == n.dropKind.Load() || n.Status(to.Records.Self) >= once.Dead || n.Status(n.Records.Self) >= once.Dead {
		return nil, fault.New(fault.KindUnreachable, "message to %s was lost", peer.ID)
	}
	if n.beforeDelivery != nil {
		n.beforeDelivery(kind)
	}
	reply, err := to.Controls()[kind](ctx, n.Records.Self.ID, body)
	if n.afterDelivery != nil {
		n.afterDelivery(kind)
	}
	return reply, err
}

func (n *testNode) Call(ctx context.Context, peer node.Peer, r call.Request) (*call.Answer, error) {
	to := n.nodes[peer.ID]
	if n.Status(to.Records.Self) >= once.Dead {
		return nil, fault.New(fault.KindUnreachable, "no connection to %s", peer.ID).WithOutcome(fault.Refused)
	}
	return to.Controller.Serve(ctx, r)
}

func (n *testNode) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	if n.next != nil {
		return n.next(ctx, r)
	}
	return n.execute(r), nil
}

// execute simulates a run at the backend server and counts it.
func (n *testNode) execute(r call.Request) *call.Answer {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.executed[r.Key]++
	return answerOf(fmt.Sprintf("order %s, run %d", r.Key, n.executed[r.Key]))
}

func answerOf(body string) *call.Answer {
	return &call.Answer{
		Status: http.StatusCreated, Header: http.Header{"Order": {"1"}}, Length: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body)), Outcome: fault.Ran,
	}
}
