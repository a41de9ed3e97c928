package owner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

func request(key string) call.Request {
	return call.Request{Service: "orders", Method: http.MethodPost, URI: "/orders/new", Key: key, Body: []byte("two pallets")}
}

// send sends a request and reads the whole answer.
func (n *testNode) send(t *testing.T, r call.Request) (string, *call.Answer, error) {
	t.Helper()
	answer, err := n.Controller.Serve(t.Context(), r)
	if err != nil {
		return "", nil, err
	}
	b, err := io.ReadAll(answer.Body)
	return string(b), answer, err
}

// expect sends a request and asserts the kind of its error, "" for none. Unless
// fault.KindNoOwner is expected, it resends after that refusal, because on a slow
// machine a transfer of records to a backup can outlast the wait for it.
func (n *testNode) expect(t *testing.T, kind fault.Kind, r call.Request) (string, *call.Answer) {
	t.Helper()
	body, answer, err := n.send(t, r)
	for kind != fault.KindNoOwner && fault.Is(err, fault.KindNoOwner) {
		body, answer, err = n.send(t, r)
	}
	if kind == "" {
		assert.NilError(t, err)
		return body, answer
	}
	assert.Assert(t, err != nil)
	f := fault.As(err)
	assert.Equal(t, f.Kind, kind, "%v", err)
	refusal := kind == fault.KindNoOwner || kind == fault.KindUnreachable
	assert.Assert(t, !refusal || f.Outcome == fault.Refused)
	return "", nil
}

// pair returns the shard of a key, its owner and backup, and one other node.
func (c *cluster) pair(t *testing.T, key string) (s once.Shard, owner, backup, third *testNode) {
	t.Helper()
	m, err := c.nodes["a1"].load(t.Context(), "orders", time.Now())
	assert.NilError(t, err)
	s = m.Shard(scopedKey(request(key)))
	for id, n := range c.nodes {
		switch id {
		case s.Owner.ID:
			owner = n
		case s.Backup.ID:
			backup = n
		default:
			third = n
		}
	}
	return s, owner, backup, third
}

// TestAnswers guards against a request that runs again, or whose resend through
// another node gets a different answer than the first one.
func TestAnswers(t *testing.T) {
	large := strings.Repeat("x", MaxKeptBody+1)
	refusal := fault.New(fault.KindOverloaded, "no slot")
	cases := map[string]struct {
		next         func(context.Context, call.Request) (*call.Answer, error)
		resend       call.Request
		first, again fault.Kind
		replayed     bool
		runs         int
	}{
		"answer is replayed":       {resend: request("k"), replayed: true, runs: 1},
		"large answer is not kept": {next: func(context.Context, call.Request) (*call.Answer, error) { return answerOf(large), nil }, resend: request("k"), again: fault.KindFinished, runs: 1},
		"refusal frees the key":    {next: func(context.Context, call.Request) (*call.Answer, error) { return nil, refusal }, resend: request("k"), first: fault.KindOverloaded, again: fault.KindOverloaded, runs: 2},
		"failure is unknown":       {next: func(context.Context, call.Request) (*call.Answer, error) { return nil, io.ErrUnexpectedEOF }, resend: request("k"), first: fault.KindInternal, again: fault.KindOutcomeUnknown, runs: 1},
		"cut answer is unknown": {next: func(context.Context, call.Request) (*call.Answer, error) {
			return &call.Answer{Body: io.NopCloser(io.MultiReader(strings.NewReader("or"), failingReader{}))}, nil
		}, resend: request("k"), first: fault.KindInternal, again: fault.KindOutcomeUnknown, runs: 1},
		"another body":                        {resend: func() call.Request { r := request("k"); r.Body = []byte("three"); return r }(), again: fault.KindKeyReused, runs: 1},
		"another tenant's key is another key": {resend: func() call.Request { r := request("k"); r.Tenant = "other"; return r }(), runs: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a1", "b1", "c1")
			count := 0
			for _, n := range c.nodes {
				n.next = func(ctx context.Context, r call.Request) (*call.Answer, error) {
					c.mu.Lock()
					count++
					c.mu.Unlock()
					if tc.next == nil {
						return answerOf(fmt.Sprint("run ", count)), nil
					}
					return tc.next(ctx, r)
				}
			}
			first, _ := c.nodes["a1"].expect(t, tc.first, request("k"))
			again, answer := c.nodes["b1"].expect(t, tc.again, tc.resend)
			if tc.replayed {
				assert.Equal(t, again, first)
				assert.Assert(t, answer.Replayed)
				assert.Equal(t, answer.Header.Get("Order"), "1")
			}
			assert.Equal(t, count, tc.runs)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestCallerGone guards against an attempt that is canceled when its caller
// disconnects, after which no resend could get the answer.
func TestCallerGone(t *testing.T) {
	c := newCluster(t, "a1", "b1", "c1")
	started, finish := make(chan struct{}), make(chan struct{})
	for _, n := range c.nodes {
		n.next = func(ctx context.Context, _ call.Request) (*call.Answer, error) {
			close(started)
			select {
			case <-finish:
				return answerOf("done"), nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	ctx, leave := context.WithCancel(t.Context())
	gone := make(chan error)
	go func() {
		_, err := c.nodes["a1"].Controller.Serve(ctx, request("k"))
		gone <- err
	}()
	<-started
	leave()
	assert.Equal(t, fault.As(<-gone).Outcome, fault.Unknown)
	c.nodes["b1"].expect(t, fault.KindStillRunning, request("k"))
	close(finish)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		body, _, err := c.nodes["c1"].send(t, request("k"))
		if err != nil {
			return poll.Continue("%v", err)
		}
		assert.Equal(t, body, "done")
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestMemberLost guards against a request that runs again, or is refused forever,
// after one or both members of its pair are lost.
func TestMemberLost(t *testing.T) {
	// old and fresh are the errors expected after the repair for the key that has run
	// and for a new one. tableOutage is that for a new key before the repair, while
	// the table service is down.
	cases := map[string]struct {
		lose        func(c *cluster, s once.Shard)
		old, fresh  fault.Kind
		reset       bool
		tableOutage fault.Kind
	}{
		"owner dead":  {lose: func(c *cluster, s once.Shard) { c.setStatus(s.Owner, once.Dead) }, tableOutage: fault.KindUnreachable},
		"backup dead": {lose: func(c *cluster, s once.Shard) { c.setStatus(s.Backup, once.Dead) }, tableOutage: fault.KindNoOwner},
		"both replaced": {lose: func(c *cluster, s once.Shard) {
			c.setStatus(s.Owner, once.Replaced)
			c.setStatus(s.Backup, once.Replaced)
		}, old: fault.KindOutcomeUnknown, fresh: fault.KindOutcomeUnknown, tableOutage: fault.KindNoOwner},
		"both dead and reset": {lose: func(c *cluster, s once.Shard) {
			c.setStatus(s.Owner, once.Dead)
			c.setStatus(s.Backup, once.Dead)
		}, old: fault.KindOutcomeUnknown, fresh: fault.KindOutcomeUnknown, tableOutage: fault.KindUnreachable, reset: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a1", "b1", "c1", "d1")
			c.nodes["a1"].expect(t, "", request("k"))
			s, _, _, third := c.pair(t, "k")
			c.waitIdle()
			c.table.set(true, false)
			tc.lose(c, s)
			fresh := otherKeyOf(s)
			third.expect(t, tc.tableOutage, request(fresh))
			c.table.set(false, true)
			if tc.reset {
				assert.NilError(t, third.Reset(t.Context(), "orders", s.Index, 1))
			}
			// Run three repair rounds on all nodes, as their ticks do.
			for range 3 {
				for _, n := range c.nodes {
					if c.Status(n.Records.Self) == once.Alive {
						n.Repair(t.Context())
						assert.NilError(t, n.Wait(t.Context()))
					}
				}
			}
			_, answer := third.expect(t, tc.old, request("k"))
			assert.Assert(t, answer == nil || answer.Replayed)
			third.expect(t, tc.fresh, request(fresh))
			assert.Equal(t, c.runs("k"), 1)
		})
	}
}

// TestRepeatedReset guards against a reset that is made twice because its reply was lost
// and the operator's client repeated it on another node. The second one would discard the
// records of the new pair.
func TestRepeatedReset(t *testing.T) {
	c := newCluster(t, "a1", "b1", "c1", "d1", "e1", "f1")
	c.nodes["a1"].expect(t, "", request("k"))
	s, _, _, _ := c.pair(t, "k")
	for _, n := range c.nodes {
		_, err := n.load(t.Context(), "orders", time.Time{})
		assert.NilError(t, err)
	}
	epoch := s.Epoch
	for _, step := range []struct {
		node   string
		id     uint64
		change bool
	}{{"a1", 7, true}, {"b1", 7, false}, {"a1", 7, false}, {"b1", 8, true}, {"c1", 8, false}} {
		assert.NilError(t, c.nodes[step.node].Reset(t.Context(), "orders", s.Index, step.id))
		c.waitIdle()
		m, err := c.nodes["f1"].load(t.Context(), "orders", time.Now())
		assert.NilError(t, err)
		got := m.Shards[s.Index]
		assert.Equal(t, got.LossEpoch > epoch, step.change, "%+v: %+v", step, got)
		epoch = got.Epoch
	}
}

// otherKeyOf returns a new key of the shard.
func otherKeyOf(s once.Shard) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("other", i); once.ShardIndex(scopedKey(request(key))) == s.Index {
			return key
		}
	}
}

// TestPausedOwner guards against an owner that runs a request although the backup
// has taken over its shard, and against failures at an entry node whose cached
// map has the old owner.
func TestPausedOwner(t *testing.T) {
	c := newCluster(t, "a1", "b1", "c1", "d1")
	c.nodes["a1"].expect(t, "", request("k"))
	s, owner, backup, _ := c.pair(t, "k")
	for _, n := range c.nodes {
		_, err := n.load(t.Context(), "orders", time.Time{})
		assert.NilError(t, err)
	}
	c.waitIdle() // the backup has the answer
	c.setStatus(s.Owner, once.Dead)
	backup.Repair(t.Context())
	c.waitIdle()
	next, _ := backup.Records.Shard("orders", s.Index)
	for _, n := range c.nodes {
		if n != owner && !next.Has(n.Records.Self) {
			_, answer := n.expect(t, "", request("k"))
			assert.Assert(t, answer.Replayed)
		}
	}
	c.waitIdle()
	c.table.set(true, false) // so that the shard does not move back
	c.setStatus(s.Owner, once.Alive)
	stale := request(otherKeyOf(s)).WithEpoch(s.Epoch)
	owner.expect(t, fault.KindNoOwner, stale)
	assert.Equal(t, c.runs(stale.Key), 0)
}

// TestLostClaim guards against a request that runs without a claim at the backup.
func TestLostClaim(t *testing.T) {
	c := newCluster(t, "a1", "b1", "c1")
	_, owner, backup, _ := c.pair(t, "k")
	owner.expect(t, "", request("k"))
	owner.dropKind.Store(KindClaim)
	key := otherKeyOf(once.Shard{Index: once.ShardIndex(scopedKey(request("k")))})
	backup.expect(t, fault.KindNoOwner, request(key))
	assert.Equal(t, c.runs(key), 0)
	owner.dropKind.Store("")
	backup.expect(t, "", request(key))
	assert.Equal(t, c.runs(key), 1)
}

// TestHandOver guards against a planned shutdown that loses records, and against
// a new owner that answers "outcome unknown" for a request that the previous
// owner is still running.
func TestHandOver(t *testing.T) {
	c := newCluster(t, "a1", "b1", "c1")
	c.nodes["a1"].expect(t, "", request("k"))
	s, owner, _, third := c.pair(t, "k")
	started, release := make(chan struct{}), make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	owner.next = func(context.Context, call.Request) (*call.Answer, error) {
		close(started)
		<-release
		return answerOf("late"), nil
	}
	key, done := otherKeyOf(s), make(chan string)
	go func() {
		body, _, _ := owner.send(t, request(key))
		done <- body
	}()
	<-started
	c.setStatus(s.Owner, once.Leaving)
	stopped := make(chan error)
	go func() { stopped <- owner.HandOver(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range c.nodes {
			n.Repair(t.Context())
		}
		select {
		case err := <-stopped:
			assert.NilError(t, err)
			return poll.Success()
		default:
			return poll.Continue("hand-over is in progress")
		}
	}, poll.WithDelay(time.Millisecond))
	short, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := third.Controller.Serve(short, request(key))
	assert.Assert(t, fault.Is(err, fault.KindStillRunning), "%v", err)
	resent := make(chan string)
	go func() {
		body, _, _ := third.send(t, request(key))
		resent <- body
	}()
	finish()
	assert.Equal(t, <-done, "late")
	assert.Equal(t, <-resent, "late")
	assert.NilError(t, owner.Wait(t.Context()))
	body, answer := third.expect(t, "", request(key))
	assert.Assert(t, answer.Replayed && bytes.Equal([]byte(body), []byte("late")))
}
