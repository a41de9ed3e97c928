package experiment

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// Guards against figures that depend on anything but the seed.
func TestRunIsDeterministic(t *testing.T) {
	o := Options{
		Deployment: GeadaSul(), Case: CaseNamed("slow-250ms"), Policy: "routing",
		Load: 0.7, Seed: 7, Length: time.Second, Hedge: true,
	}
	assert.DeepEqual(t, Run(o), Run(o))
}

// Guards against policies that see different arrivals, and against lost
// requests: every request that arrives is recorded once.
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

// Guards against a fake server that keeps a request's speed when its
// neighbours slow it.
func TestServerSlowsRunningRequests(t *testing.T) {
	w := newWorld(Options{Deployment: GeadaSul(), Policy: "random", Load: 0.1})
	s := w.servers[0]
	w.run(warmUp)
	r := &request{w: w, arrived: w.now}
	a := &attempt{r: r, s: s, work: 10 * time.Millisecond}
	r.open = []*attempt{a}
	s.accept(a)
	w.after(5*time.Millisecond, func() { s.setSlow(5) })
	w.after(10*time.Millisecond, func() { s.setSlow(1) })
	w.run(2 * warmUp)
	assert.DeepEqual(t, w.latencies, []time.Duration{14 * time.Millisecond})
}

// Guards against a budget for region links that a second can exceed.
func TestMeterStaysWithinBudget(t *testing.T) {
	w := newWorld(Options{Deployment: GeadaSul(), Policy: "random", Length: time.Second, Budget: 500})
	w.run(warmUp)
	for range 100 {
		w.meter.allow(0, 1, probeBytes)
	}
	assert.Equal(t, w.meter.nodes[0], probeBytes, "the burst is a quarter of the budget")
	assert.Assert(t, w.meter.denied > 0)
	assert.Assert(t, w.meter.allow(0, 3, probeBytes), "the budget does not concern links within a region")
}

// Guards against formats that drop a figure.
func TestWrite(t *testing.T) {
	results := []Result{{Deployment: "geada", Case: "steady", Policy: "routing", P99: 12.5, Links: map[string]float64{"a>b": 3}}}
	var text, js bytes.Buffer
	assert.NilError(t, WriteText(&text, results))
	assert.NilError(t, WriteJSON(&js, results))
	assert.Assert(t, bytes.Contains(text.Bytes(), []byte("12.5")))
	assert.Assert(t, bytes.Contains(js.Bytes(), []byte(`"links":{"a\u003eb":3}`)))
}

// Guards against a fake server that forgets to refuse, and against a lying
// server that tells the truth.
func TestServerLoad(t *testing.T) {
	s := &server{Server: routing.Server{Slots: 1}, clock: &clock{}, slow: 1}
	for range 3 {
		s.accept(&attempt{s: s, work: time.Second})
	}
	assert.DeepEqual(t, s.load(), routing.Load{InFlight: 1, Queued: 2, Slots: 1})
	s.lying = true
	assert.Equal(t, s.load().InFlight, 0)
}
