package routing_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

var start = time.Unix(1_800_000_000, 0)

const ms = time.Millisecond

// newTable returns a table in region a, domain a1, with servers named s0, s1 and so
// on, spread over the domains a1 and a2 and region b.
func newTable(n int) *routing.Table {
	t := &routing.Table{Config: routing.Config{Node: "s0", Region: "a", Domain: "a1"}}
	for i := range n {
		s := routing.Server{ID: fmt.Sprint("s", i), Service: "stock", Region: "a", Domain: "a1", Slots: 12}
		switch i % 4 {
		case 1:
			s.Domain = "a2"
		case 3:
			s.Region, s.Domain = "b", "b1"
		}
		t.Upsert(s, start)
	}
	return t
}

// pickCounts picks servers for n concurrent requests and counts the picks per
// server.
func pickCounts(t *routing.Table, n int, r routing.Request, now time.Time) map[string]int {
	got := map[string]int{}
	for range n {
		if c, ok := t.Pick(r, now); ok {
			got[c.ID]++
		}
	}
	return got
}

// Guards against decisions that ignore an exclusion, a draining or full server, or
// the latency of a link.
func TestPick(t *testing.T) {
	stock := routing.Request{Service: "stock", Idempotent: true}
	for name, c := range map[string]struct {
		prepare func(*routing.Table)
		request routing.Request
		want    string
		reason  routing.Reason
	}{
		"own domain":      {func(*routing.Table) {}, stock, "s0 s2", routing.ReasonBest},
		"excluded":        {func(*routing.Table) {}, routing.Request{Service: "stock", Exclude: []string{"s0", "s2"}}, "s1", routing.ReasonDomain},
		"draining":        {func(t *routing.Table) { t.SetDraining("stock", "s0", true) }, stock, "s2", routing.ReasonOnly},
		"removed":         {func(t *routing.Table) { t.Remove("stock", "s2") }, stock, "s0", routing.ReasonOnly},
		"unknown service": {func(*routing.Table) {}, routing.Request{Service: "none"}, "", 0},
		"full domain":     {func(t *routing.Table) { setFull(t, "s0", "s2") }, stock, "s1", routing.ReasonDomain},
		"full region":     {func(t *routing.Table) { setFull(t, "s0", "s1", "s2") }, stock, "s3", routing.ReasonRegion},
		"all excluded":    {func(*routing.Table) {}, routing.Request{Service: "stock", Exclude: []string{"s0", "s1", "s2", "s3"}}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(4)
			c.prepare(table)
			got, ok := table.Pick(c.request, start.Add(ms))
			assert.Equal(t, ok, c.want != "")
			if ok {
				assert.Assert(t, contains(c.want, got.ID), "got %s, want one of %s", got.ID, c.want)
				assert.Equal(t, got.Reason, c.reason)
				assert.Equal(t, got.Considered[0].ID, got.ID)
			}
		})
	}
}

func contains(list, id string) bool {
	var a, b string
	_, _ = fmt.Sscan(list, &a, &b)
	return id == a || id == b
}

func setFull(t *routing.Table, ids ...string) {
	for _, id := range ids {
		t.Observe("stock", id, routing.Load{InFlight: 12, Queued: 60, Slots: 12, Latency: 10 * ms}, start.Add(ms))
	}
}

// Guards against a server that fails fast and attracts requests because it appears
// idle, and against one that receives no more requests after it has recovered.
func TestFailFastAndRecovery(t *testing.T) {
	table := newTable(3)
	r := routing.Request{Service: "stock", Idempotent: true}
	now := start
	send := func(n int, broken bool) (toBroken int) {
		for range n {
			c, _ := table.Pick(r, now)
			now = now.Add(10 * ms)
			table.Tick(now)
			o := routing.Answered
			if c.ID == "s0" {
				toBroken++
				if broken {
					o = routing.Failed
				}
			}
			table.Done("stock", c.ID, o, 10*ms, now)
		}
		return toBroken
	}
	assert.Assert(t, send(500, true) < 15)
	send(2500, false)
	assert.Assert(t, send(500, false) > 100, "a recovered server must receive requests again")
}

// Guards against a cold server that receives its full share immediately.
func TestSlowStart(t *testing.T) {
	table := newTable(1)
	now := start.Add(time.Minute)
	table.Upsert(routing.Server{ID: "s2", Service: "stock", Region: "a", Domain: "a1", Slots: 12}, now)
	cold := pickCounts(table, 12, routing.Request{Service: "stock"}, now)
	assert.Assert(t, cold["s2"] <= 3, "%v", cold)
	state := table.Snapshot("stock")
	assert.Assert(t, state[1].Ramp < 0.2 && state[0].Ramp == 1)
}

// Guards against a subset without servers in other domains and regions, and against
// one larger than the limit on connections.
func TestSubset(t *testing.T) {
	table := newTable(710)
	table.Tick(start)
	domains := map[string]int{}
	for _, s := range table.Snapshot("stock") {
		if s.Subset {
			domains[s.Domain]++
		}
	}
	assert.DeepEqual(t, domains, map[string]int{"a1": 24, "a2": 12, "b1": 12})
}

// Guards against using more servers than a node may have connections to, against
// services with too few servers, and against services that keep their part of the
// connections after their last use.
func TestServicesShareConnections(t *testing.T) {
	const connections = 128 // the limit in internal/node
	cases := map[string]struct{ called, least int }{
		"one service": {1, 31}, "four": {4, 20}, "ten": {10, 8}, "all": {23, 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			table := &routing.Table{Config: routing.Config{Node: "n", Region: "a", Domain: "a1"}}
			for i := range 23 * 31 {
				table.Upsert(routing.Server{
					ID: fmt.Sprint("s", i), Service: fmt.Sprint("service", i%23), Slots: 12,
					Region: []string{"a", "b"}[i%2], Domain: fmt.Sprint("d", i%4),
				}, start)
			}
			now, used := start, map[string]bool{}
			for i := range 4000 {
				if now = now.Add(ms); i%10 == 0 {
					table.Tick(now)
				}
				c, ok := table.Pick(routing.Request{Service: fmt.Sprint("service", i%tc.called)}, now)
				assert.Assert(t, ok)
				used[c.ID] = true
			}
			for i := range tc.called {
				n := 0
				for _, s := range table.Snapshot(fmt.Sprint("service", i)) {
					if s.Subset {
						n++
					}
				}
				assert.Assert(t, n >= tc.least, "%d servers of service %d", n, i)
			}
			assert.Assert(t, len(used) <= connections, "%d servers had requests", len(used))
			table.Tick(now.Add(2 * time.Minute))
			n := 0
			for _, s := range table.Snapshot("service0") {
				if s.Subset {
					n++
				}
			}
			assert.Equal(t, n, 31, "the subset must grow when other services are no longer in use")
		})
	}
}

// Guards against probes to servers whose load is known from answers, and against
// repeated probes within the probe period.
func TestProbeTargets(t *testing.T) {
	table := newTable(4)
	now := start.Add(2 * time.Second)
	table.Observe("stock", "s0", routing.Load{}, now)
	assert.Equal(t, len(table.ProbeTargets(now, nil)), 3)
	assert.Equal(t, len(table.ProbeTargets(now.Add(500*ms), nil)), 0)
	// The probe period of the server in the other region is five times as long.
	assert.Equal(t, len(table.ProbeTargets(now.Add(time.Second), nil)), 3)
	assert.Equal(t, len(table.ProbeTargets(now.Add(5*time.Second), nil)), 4)
}

// Guards against data races and against a wrong count of requests in flight.
func TestConcurrentUse(t *testing.T) {
	table := newTable(31)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 500 {
				now := start.Add(time.Duration(i) * ms)
				c, ok := table.Pick(routing.Request{Service: "stock", Idempotent: true}, now)
				assert.Check(t, ok)
				table.Observe("stock", c.ID, routing.Load{InFlight: 3, Latency: 10 * ms}, now)
				table.Done("stock", c.ID, routing.Outcome(i%5), 10*ms, now)
				table.Tick(now)
			}
		})
	}
	wg.Wait()
	for _, s := range table.Snapshot("stock") {
		assert.Equal(t, s.Own, 0)
	}
}

// Guards against memory allocations on the request path.
func TestPickDoesNotAllocate(t *testing.T) {
	table := newTable(31)
	r := routing.Request{Service: "stock"}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { _, _ = table.Pick(r, start) }), 0.0)
}

// Guards against a run time that counts only answers: a server that stopped
// answering must appear slow while its requests are still in flight.
func TestRunTimeMeterCountsRunningRequests(t *testing.T) {
	var p routing.RunTimeMeter
	now := start
	for range 20 {
		p.Start(now)
		now = now.Add(10 * ms)
		p.End(10*ms, true, now)
	}
	steady := p.Latency(now)
	assert.Assert(t, steady > 9*ms && steady < 11*ms, "%v", steady)
	p.Start(now)
	assert.Assert(t, p.Latency(now.Add(100*ms)) > 20*ms)
}

// Run with: go test -bench Pick ./pkg/routing
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{31, 100, 310, 710} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(n)
			r := routing.Request{Service: "stock", Idempotent: true}
			for i := range n {
				table.Observe("stock", fmt.Sprint("s", i), routing.Load{InFlight: 6 + i%8, Latency: 10 * ms}, start)
			}
			table.Tick(start)
			b.ReportAllocs()
			now := start
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				c, _ := table.Pick(r, now)
				table.Done("stock", c.ID, routing.Answered, 10*ms, now)
			}
		})
	}
}
