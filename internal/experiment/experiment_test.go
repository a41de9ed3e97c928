package experiment

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// Guards against results that depend on anything but the options.
func TestRunIsDeterministic(t *testing.T) {
	o := Options{
		Deployment: GeadaSul(), Case: CaseNamed("slow-250ms"), Policy: "routing",
		Load: 0.7, Seed: 7, Length: time.Second, Hedge: true,
	}
	assert.DeepEqual(t, Run(o), Run(o))
}

// Guards against policies that are compared on different requests, and against
// requests that are lost or counted twice.
func TestPoliciesSeeTheSameRequests(t *testing.T) {
	want := 0
	for _, name := range Policies() {
		r := Run(Options{
			Deployment: Union(), Case: CaseNamed("crash"), Policy: name,
			Load: 0.5, Seed: 3, Length: time.Second,
		})
		if want == 0 {
			want = r.Requests
		}
		assert.Equal(t, r.Requests, want, name)
	}
}

// Guards against a fake server that keeps the speed of a running request when its
// slowdown changes.
func TestServerSlowsRunningRequests(t *testing.T) {
	e := newEmulator(Options{Deployment: GeadaSul(), Policy: "random", Load: 0.1})
	s := e.servers[0]
	e.run(warmUp)
	r := &request{emulator: e, arrived: e.now}
	a := &attempt{r: r, s: s, work: 10 * time.Millisecond}
	r.inFlight = []*attempt{a}
	s.accept(a)
	e.after(5*time.Millisecond, func() { s.setSlowdown(5) })
	e.after(10*time.Millisecond, func() { s.setSlowdown(1) })
	e.run(2 * warmUp)
	assert.DeepEqual(t, e.latencies, []time.Duration{14 * time.Millisecond})
}

// Guards against a measuring budget for links between regions that can be exceeded
// within a second.
func TestMeterStaysWithinBudget(t *testing.T) {
	e := newEmulator(Options{Deployment: GeadaSul(), Policy: "random", Length: time.Second, Budget: 500})
	e.run(warmUp)
	for range 100 {
		e.meter.allow(0, 1, probeBytes)
	}
	assert.Equal(t, e.meter.nodes[0], probeBytes, "the burst is a quarter of the budget")
	assert.Assert(t, e.meter.denied > 0)
	assert.Assert(t, e.meter.allow(0, 3, probeBytes), "the budget must not limit links within a region")
}

// Guards against output formats that omit a result.
func TestWrite(t *testing.T) {
	results := []Result{{Deployment: "geada", Case: "steady", Policy: "routing", P99: 12.5, Links: map[string]float64{"a>b": 3}}}
	var text, js bytes.Buffer
	assert.NilError(t, WriteText(&text, results))
	assert.NilError(t, WriteJSON(&js, results))
	assert.Assert(t, bytes.Contains(text.Bytes(), []byte("12.5")))
	assert.Assert(t, bytes.Contains(js.Bytes(), []byte(`"links":{"a\u003eb":3}`)))
}

// Guards against a fake server that does not count its queue in its load, or that
// reports its real load when the case requires a wrong one.
func TestServerLoad(t *testing.T) {
	s := &server{Server: routing.Server{Slots: 1}, clock: &clock{}, slowdown: 1}
	for range 3 {
		s.accept(&attempt{s: s, work: time.Second})
	}
	assert.DeepEqual(t, s.load(), routing.Load{InFlight: 1, Queued: 2, Slots: 1})
	s.reportsIdle = true
	assert.Equal(t, s.load().InFlight, 0)
}
