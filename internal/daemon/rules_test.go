package daemon

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/evidence"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// fakePeers stands in for the other nodes; forward determines the answer to the nth
// send.
type fakePeers struct {
	sends   atomic.Int64
	load    call.Load // of the server beside the dispatcher; no slots means no server
	forward func(n int64) (wait time.Duration, status int)
}

func (*fakePeers) peer(id string) (node.Peer, bool) { return node.Peer{ID: id}, true }
func (*fakePeers) suspect(call.Request) bool        { return false }
func (p *fakePeers) Call(ctx context.Context, peer node.Peer, r call.Request) (*call.Answer, error) {
	wait, status := p.forward(p.sends.Add(1))
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &call.Answer{
		Status: status, Server: peer.ID, Allowance: r.Allowance,
		Body: io.NopCloser(strings.NewReader("")), Load: call.Load{Slots: 8},
	}, nil
}

// loadOf implements localLoader.
func (p *fakePeers) loadOf(string) (call.Load, bool) { return p.load, p.load.Slots > 0 }

// newDispatcher returns a dispatcher whose service has the rules.
func newDispatcher(t *testing.T, rules string, p *fakePeers) *dispatcher {
	t.Helper()
	c := &configuration{}
	_, err := c.Apply(config.Record{Version: 1, Change: config.Change{Body: "services: {stock: " + rules + "}"}})
	assert.NilError(t, err)
	d := &dispatcher{common: common{&Options{ID: "n0"}}, routes: &routing.Table{}, resolver: p, transport: p, suspects: p, localLoad: p, serviceLimits: c}
	for i := range 8 {
		d.routes.Upsert(routing.Server{ID: fmt.Sprint("n", i+1), Service: "stock", Slots: 8}, time.Now())
	}
	return d
}

// serve runs n requests one after the other and returns the number of sends.
func serve(ctx context.Context, d *dispatcher, p *fakePeers, n int) int64 {
	before := p.sends.Load()
	for range n {
		answer, err := d.Serve(ctx, call.Request{Service: "stock", Method: "GET", Idempotent: true})
		if err == nil {
			_ = answer.Body.Close()
		}
	}
	return p.sends.Load() - before
}

// Guards against a retry.ratio that is accepted but has no effect.
func TestRetryRatioTakesEffect(t *testing.T) {
	for name, ratio := range map[string]float64{"off": 0, "low": 0.05, "default": 0.1, "high": 0.5} {
		t.Run(name, func(t *testing.T) {
			p := &fakePeers{forward: func(int64) (time.Duration, int) { return 0, 503 }}
			d := newDispatcher(t, fmt.Sprintf("{retry: {ratio: %v}}", ratio), p)
			retries := float64(serve(t.Context(), d, p, 400) - 400)
			assert.Assert(t, retries <= 400*ratio && retries >= 0.4*400*ratio, "%v retries", retries)
		})
	}
}

// Guards against a hedge.ratio that is accepted but has no effect.
func TestHedgeRatioTakesEffect(t *testing.T) {
	for name, ratio := range map[string]float64{"off": 0, "low": 0.005, "default": 0.02, "high": 0.08} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakePeers{forward: func(n int64) (time.Duration, int) {
					if n%10 == 0 {
						return time.Second, 200
					}
					return 10 * time.Millisecond, 200
				}}
				d := newDispatcher(t, fmt.Sprintf("{hedge: {ratio: %v, after: 0.6}}", ratio), p)
				hedges := float64(serve(t.Context(), d, p, 4000) - 4000)
				assert.Assert(t, hedges <= 4000*ratio && hedges >= 0.7*4000*ratio-5, "%v hedges", hedges)
			})
		})
	}
}

// Guards against a hedge.after that is accepted but has no effect: with latencies
// spread evenly over 100 ms, a request that takes longer than the quantile makes its
// server suspect and is hedged at that time.
func TestHedgeAfterTakesEffect(t *testing.T) {
	for name, after := range map[string]float64{"median": 0.5, "p75": 0.75, "default": 0.95} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var first time.Time
				waits, hedges := 0.0, 0.0
				p := &fakePeers{}
				sent := false
				p.forward = func(n int64) (time.Duration, int) {
					mu.Lock()
					defer mu.Unlock()
					if sent {
						waits, hedges = waits+float64(time.Since(first)/time.Millisecond), hedges+1
					}
					first, sent = time.Now(), true
					return time.Duration(n*37%100) * time.Millisecond, 200
				}
				d := newDispatcher(t, fmt.Sprintf("{hedge: {ratio: 0.02, after: %v}}", after), p)
				for range 3000 {
					mu.Lock()
					sent = false
					mu.Unlock()
					serve(t.Context(), d, p, 1)
				}
				want := 100 * after
				assert.Assert(t, hedges > 20 && math.Abs(waits/hedges-want) < 8, "%v hedges after %v ms, want %v", hedges, waits/hedges, want)
			})
		})
	}
}

// Guards against requests that a node sends to its own server because of the load in
// the last answer, although the server has a long queue by now.
func TestLocalLoadIsCurrent(t *testing.T) {
	p := &fakePeers{load: call.Load{Slots: 8, InFlight: 8, Queued: 100, Latency: 10 * time.Millisecond}}
	d := newDispatcher(t, "{}", p)
	d.routes.Upsert(routing.Server{ID: "n0", Service: "stock", Slots: 8}, time.Now())
	for range 50 {
		a, ok := d.choose(call.Request{Service: "stock"}, nil, evidence.Place)
		assert.Assert(t, ok && a.choice.ID != "n0")
	}
}
