package daemon

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/retry"
)

// fakeServers answers the sends of one request in the order of their starts.
type fakeServers struct {
	sends []func(ctx context.Context) (*call.Answer, error)
	n     atomic.Int32
	// secondBegun and secondEnded are closed when the second send begins and returns.
	secondBegun, secondEnded chan struct{}
	// cancellations gets a value for each send whose context ended before its answer.
	cancellations chan struct{}
}

func (f *fakeServers) peer(id string) (node.Peer, bool) { return node.Peer{ID: id}, true }

func (f *fakeServers) Call(ctx context.Context, _ node.Peer, _ call.Request) (*call.Answer, error) {
	i := int(f.n.Add(1)) - 1
	if i == 1 {
		close(f.secondBegun)
		defer close(f.secondEnded)
	}
	if i >= len(f.sends) {
		return nil, fault.New(fault.KindInternal, "unexpected send %d", i+1)
	}
	return f.sends[i](ctx)
}

func answers(text string) func(context.Context) (*call.Answer, error) {
	return func(context.Context) (*call.Answer, error) {
		return &call.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}, nil
	}
}

func fails(kind fault.Kind) func(context.Context) (*call.Answer, error) {
	return func(context.Context) (*call.Answer, error) { return nil, fault.New(kind, "failure set by the test") }
}

type fixedSuspects bool

func (s fixedSuspects) suspect(call.Request) bool { return bool(s) }

// TestHedge guards against hedges of requests that must not be hedged, against an
// answer or an error of the wrong attempt, and against a losing attempt that is not
// cancelled.
func TestHedge(t *testing.T) {
	const late = 30 * time.Millisecond // thirty times the usual run time
	type sends = []func(context.Context) (*call.Answer, error)
	cases := map[string]struct {
		sends func(f *fakeServers) sends
		// servers, unsafe, suspect and off deviate from the usual case of two servers.
		servers              int
		unsafe, suspect, off bool
		text                 string
		kind                 fault.Kind
		count                int
		cancelled            bool
	}{
		"hedge wins": {text: "second", count: 2, cancelled: true, sends: func(f *fakeServers) sends {
			return sends{f.blocks, answers("second")}
		}},
		"hedge fails": {text: "first", count: 2, sends: func(f *fakeServers) sends {
			return sends{f.afterSecond("first"), fails(fault.KindCutShort)}
		}},
		"first fails": {text: "second", count: 2, sends: func(f *fakeServers) sends {
			return sends{f.failsFirst, answersAfter(late, "second")}
		}},
		"no server for the hedge": {servers: 1, kind: fault.KindCutShort, count: 1, sends: func(*fakeServers) sends {
			return sends{func(context.Context) (*call.Answer, error) {
				time.Sleep(late)
				return nil, fault.New(fault.KindCutShort, "the only send fails")
			}}
		}},
		"not idempotent": {unsafe: true, text: "first", count: 1, sends: func(*fakeServers) sends { return sends{answersAfter(late, "first")} }},
		"suspect":        {suspect: true, text: "first", count: 1, sends: func(*fakeServers) sends { return sends{answersAfter(late, "first")} }},
		"turned off":     {off: true, text: "first", count: 1, sends: func(*fakeServers) sends { return sends{answersAfter(late, "first")} }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeServers{secondBegun: make(chan struct{}), secondEnded: make(chan struct{}), cancellations: make(chan struct{}, 2)}
				f.sends = tc.sends(f)
				d := newHedgingDispatcher(t, f, tc.off, cmp.Or(tc.servers, 2))
				d.suspects = fixedSuspects(tc.suspect)
				answer, err := d.Serve(t.Context(), call.Request{
					Service: "stock", Method: http.MethodGet, URI: "/stock/item", Idempotent: !tc.unsafe, Deadline: time.Now().Add(10 * time.Second),
				})
				assert.Equal(t, int(f.n.Load()), tc.count)
				if tc.kind != "" {
					assert.Equal(t, fault.As(err).Kind, tc.kind)
					return
				}
				assert.NilError(t, err)
				text, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(text), tc.text)
				if tc.cancelled {
					<-f.cancellations
				}
				assert.NilError(t, answer.Body.Close())
			})
		})
	}
}

// Guards against a request that is refused because the nodes which it reaches first
// all stop, although others could serve it.
func TestSeveralNodesStop(t *testing.T) {
	f := &fakeServers{secondBegun: make(chan struct{}), secondEnded: make(chan struct{})}
	f.sends = append(slices.Repeat([]func(context.Context) (*call.Answer, error){fails(fault.KindDraining)}, 5), answers("sixth"))
	d := newHedgingDispatcher(t, f, true, 8)
	answer, err := d.Serve(t.Context(), call.Request{
		Service: "stock", Method: http.MethodPost, URI: "/stock/item", Deadline: time.Now().Add(10 * time.Second),
	})
	assert.NilError(t, err)
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "sixth")
	assert.Equal(t, int(f.n.Load()), 6)
}

// newHedgingDispatcher returns a dispatcher that knows servers with a usual run time
// of a millisecond, and has accumulated an allowance for hedges and retries.
func newHedgingDispatcher(t *testing.T, f *fakeServers, off bool, servers int) *dispatcher {
	t.Helper()
	rules := "{}"
	if off {
		rules = "{hedge: {ratio: 0}}"
	}
	d := newDispatcher(t, rules, &fakePeers{})
	for i := servers; i < 8; i++ {
		d.routes.Remove("stock", fmt.Sprint("n", i+1))
	}
	d.transport, d.resolver = f, f
	now := time.Now()
	for range 1000 {
		d.hedger.Observe("stock", "", time.Millisecond)
		d.hedger.Delays("stock", "", d.serviceLimits.Hedges("stock"))
		d.retries.Put("stock", retry.DefaultRatio, d.retries.Grant("stock", retry.DefaultRatio, now.Add(time.Second), now))
	}
	return d
}

// blocks waits until its context ends.
func (f *fakeServers) blocks(ctx context.Context) (*call.Answer, error) {
	<-ctx.Done()
	f.cancellations <- struct{}{}
	return nil, ctx.Err()
}

// afterSecond answers when the second send has ended.
func (f *fakeServers) afterSecond(text string) func(context.Context) (*call.Answer, error) {
	return func(ctx context.Context) (*call.Answer, error) {
		<-f.secondEnded
		return answers(text)(ctx)
	}
}

// failsFirst fails once the second send has begun.
func (f *fakeServers) failsFirst(context.Context) (*call.Answer, error) {
	<-f.secondBegun
	return nil, fault.New(fault.KindCutShort, "the first send fails")
}

func answersAfter(d time.Duration, text string) func(context.Context) (*call.Answer, error) {
	return func(ctx context.Context) (*call.Answer, error) {
		time.Sleep(d)
		return answers(text)(ctx)
	}
}
