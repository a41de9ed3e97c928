package daemon

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
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
	// begun and second are closed when the second send begins and returns.
	begun, second chan struct{}
	// dropped gets a value for each send whose context ended before its answer.
	dropped chan struct{}
}

func (f *fakeServers) peer(id string) (node.Peer, bool) { return node.Peer{ID: id}, true }

func (f *fakeServers) Call(ctx context.Context, _ node.Peer, _ call.Request) (*call.Answer, error) {
	i := int(f.n.Add(1)) - 1
	if i == 1 {
		close(f.begun)
		defer close(f.second)
	}
	if i >= len(f.sends) {
		return nil, fault.New(fault.KindInternal, "send %d is one too many", i+1)
	}
	return f.sends[i](ctx)
}

func answers(text string) func(context.Context) (*call.Answer, error) {
	return func(context.Context) (*call.Answer, error) {
		return &call.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}, nil
	}
}

func fails(kind fault.Kind) func(context.Context) (*call.Answer, error) {
	return func(context.Context) (*call.Answer, error) { return nil, fault.New(kind, "as the test wants it") }
}

type fixedSuspects bool

func (s fixedSuspects) suspect(call.Request) bool { return bool(s) }

// TestHedge guards against a second copy of a request that must not have one,
// against an answer or an error of the wrong copy, and against a loser that is
// not cancelled.
func TestHedge(t *testing.T) {
	const late = 30 * time.Millisecond // thirty times the usual run time
	type sends = []func(context.Context) (*call.Answer, error)
	cases := map[string]struct {
		sends func(f *fakeServers) sends
		// servers, unsafe, suspect and off change the usual case of two servers.
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
			return sends{f.after("first"), fails(fault.KindCutShort)}
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
				f := &fakeServers{begun: make(chan struct{}), second: make(chan struct{}), dropped: make(chan struct{}, 2)}
				f.sends = tc.sends(f)
				e := hedging(t, f, tc.off, cmp.Or(tc.servers, 2))
				e.crash = fixedSuspects(tc.suspect)
				answer, err := e.Serve(t.Context(), call.Request{
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
					<-f.dropped
				}
				assert.NilError(t, answer.Body.Close())
			})
		})
	}
}

// hedging returns an entry that knows servers with a usual run time of a
// millisecond, and has earned hedges and retries.
func hedging(t *testing.T, f *fakeServers, off bool, servers int) *entry {
	t.Helper()
	rules := "{}"
	if off {
		rules = "{hedge: {ratio: 0}}"
	}
	e := entryWith(t, rules, &peersOf{})
	for i := servers; i < 8; i++ {
		e.routes.Remove("stock", fmt.Sprint("n", i+1))
	}
	e.forward, e.peers = f, f
	now := time.Now()
	for range 1000 {
		e.hedger.Observe("stock", "", time.Millisecond)
		e.hedger.Delays("stock", "", e.limits.Hedges("stock"))
		e.retries.Put("stock", retry.DefaultRatio, e.retries.Grant("stock", retry.DefaultRatio, now.Add(time.Second), now))
	}
	return e
}

// blocks waits until its context ends.
func (f *fakeServers) blocks(ctx context.Context) (*call.Answer, error) {
	<-ctx.Done()
	f.dropped <- struct{}{}
	return nil, ctx.Err()
}

// after answers when the other send has ended.
func (f *fakeServers) after(text string) func(context.Context) (*call.Answer, error) {
	return func(ctx context.Context) (*call.Answer, error) {
		<-f.second
		return answers(text)(ctx)
	}
}

// failsFirst fails once the second send has begun.
func (f *fakeServers) failsFirst(context.Context) (*call.Answer, error) {
	<-f.begun
	return nil, fault.New(fault.KindCutShort, "the first send fails")
}

func answersAfter(d time.Duration, text string) func(context.Context) (*call.Answer, error) {
	return func(ctx context.Context) (*call.Answer, error) {
		time.Sleep(d)
		return answers(text)(ctx)
	}
}
