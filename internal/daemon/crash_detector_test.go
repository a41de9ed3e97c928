package daemon

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

// Guards against a request that crashes one backend server after another while its
// caller resends it through different nodes, and against other requests being refused
// because they ran at the same time.
func TestRequestThatCrashesServers(t *testing.T) {
	cases := map[string]struct{ method string }{
		"idempotent":     {method: http.MethodGet},
		"non-idempotent": {method: http.MethodPost},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 5)
			stop := c.backgroundLookups(t)
			var outcomes []string
			for i := range 12 {
				outcomes = append(outcomes, c.outcome(t, i%5, tc.method, "/stock/kill?crash=1"))
			}
			assert.Assert(t, slices.Contains(outcomes, "refused "+string(fault.KindQuarantined)), "outcomes %v", outcomes)
			crashed := 0
			for _, s := range c.servers {
				crashed += s.FaultCount("crash")
			}
			assert.Assert(t, crashed >= 1 && crashed <= 2, "%d servers crashed; outcomes %v", crashed, outcomes)
			for _, kind := range stop() {
				assert.Assert(t, kind != "refused "+string(fault.KindQuarantined), "a request that caused no crash was quarantined")
			}
		})
	}
}

// Guards against answers to harmless requests that hide which request crashes servers, and
// against refusing these requests: they have the same path and body, and another tenant.
func TestAnswersToAnotherTenantHideNoCrash(t *testing.T) {
	const uri = "/stock/kill?crash=1&by=first"
	c := startCluster(t, 6)
	send := func(i int, tenant string) string {
		response, text, err := c.call(context.Background(), i, http.MethodGet, uri, http.Header{"Tenant": {tenant}}, nil)
		if err != nil {
			t.Errorf("%s: %v", tenant, err)
			return ""
		}
		if strings.Contains(text, string(fault.KindQuarantined)) {
			return "quarantined"
		}
		return response.Header.Get("Outcome")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var sending sync.WaitGroup
	var answered, refused atomic.Int32
	for i := range c.nodes {
		sending.Go(func() {
			for ctx.Err() == nil {
				switch send(i, "second") {
				case "quarantined":
					refused.Add(1)
				case "ran":
					answered.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	answeredMore := func(n int32) {
		from := answered.Load()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if answered.Load() < from+n {
				return poll.Continue("%d requests of the other tenant were answered", answered.Load())
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	}
	answeredMore(100)
	var outcomes []string
	for i := range 12 {
		outcomes = append(outcomes, send(i%len(c.nodes), "first"))
		answeredMore(1)
	}
	answeredMore(50)
	cancel()
	sending.Wait()
	crashed := 0
	for _, s := range c.servers {
		crashed += s.FaultCount("crash")
	}
	assert.Check(t, crashed >= 1 && crashed <= 3, "%d servers crashed; outcomes %v", crashed, outcomes)
	assert.Check(t, slices.Contains(outcomes, "quarantined"), "outcomes %v", outcomes)
	assert.Check(t, refused.Load() == 0, "%d harmless requests were refused", refused.Load())
}

// outcome sends a request and returns the outcome and, for a failure, its kind.
func (c *cluster) outcome(t *testing.T, i int, method, uri string) string {
	response, text, err := c.call(context.Background(), i, method, uri, nil, nil)
	if err != nil {
		t.Errorf("%s %s: %v", method, uri, err)
		return ""
	}
	outcome := response.Header.Get("Outcome")
	if _, kind, ok := strings.Cut(text, "urn:vanillasail:problem:"); ok {
		kind, _, _ = strings.Cut(kind, "\"")
		return outcome + " " + kind
	}
	return outcome
}

// backgroundLookups sends lookups through all nodes until stop is called, which
// returns their outcomes.
func (c *cluster) backgroundLookups(t *testing.T) (stop func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		all []string
	)
	for i := range c.nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				o := c.outcome(t, i, http.MethodGet, "/stock/item?delay=5")
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
			}
		})
	}
	stop = func() []string {
		cancel()
		wg.Wait()
		return all
	}
	// After a failed assertion no callers may go on sending to stopped nodes.
	t.Cleanup(func() { stop() })
	return stop
}

// Guards against a suspect that did not cause the crash being quarantined because it
// was sent to a backend server that no longer accepted connections.
func TestSuspectAtUnreachableServer(t *testing.T) {
	c := startCluster(t, 1)
	serverProxy := &c.nodes[0].serverProxy
	r := call.Request{ID: "r1", Service: "stock", Method: http.MethodGet, URI: "/stock/item", Deadline: time.Now().Add(time.Minute)}
	fingerprint := quarantine.Fingerprint(r.Fingerprint())
	serverProxy.crash.table.Merge(quarantine.Incident{ID: 1, Fingerprints: quarantine.Fingerprints{fingerprint, fingerprint + 1}}, time.Now())
	c.servers[0].Kill()
	_, err := serverProxy.Serve(t.Context(), r)
	assert.Assert(t, fault.Is(err, fault.KindNoServer), "%v", err)
	assert.Equal(t, serverProxy.crash.table.Check(fingerprint, time.Now()), quarantine.Alone)
}
