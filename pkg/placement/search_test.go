package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that cycles among servers without end, waits although
// another server would be better, or is refused while another server has a free
// slot.
func TestSearch(t *testing.T) {
	now := time.Unix(1000, 0)
	idle := func(id string) Server { return Server{ID: id, Limit: 10, Seen: now} }
	slow := func(id string) Server {
		return Server{ID: id, Limit: 10, Slowdown: 5, SlowFor: 150 * time.Millisecond, Seen: now}
	}
	full := func(id string) Server { return Server{ID: id, Limit: 10, Running: 10, Wait: time.Second, Seen: now} }
	failing := func(id string) Server { return Server{ID: id, Limit: 10, Unhealthy: true, Seen: now} }
	for name, c := range map[string]struct {
		servers            []Server
		handedBack, failed []string
		last, ok           bool
		capacityElsewhere  bool
	}{
		"first of several":       {servers: []Server{idle("a"), idle("b")}, ok: true, capacityElsewhere: true},
		"the only one":           {servers: []Server{idle("a")}, last: true, ok: true, capacityElsewhere: true},
		"none":                   {},
		"all failed":             {servers: []Server{idle("a")}, failed: []string{"a"}},
		"all handed back":        {servers: []Server{slow("a"), slow("b")}, handedBack: []string{"a", "b"}, last: true, ok: true},
		"one is left":            {servers: []Server{slow("a"), idle("b")}, handedBack: []string{"a"}, last: true, ok: true, capacityElsewhere: true},
		"known to be full":       {servers: []Server{full("a"), full("b")}, last: true, ok: true},
		"too many hand-backs":    {servers: []Server{slow("a"), slow("b"), slow("c"), slow("d"), slow("e"), idle("f"), idle("g")}, handedBack: []string{"a", "b", "c", "d", "e"}, last: true, ok: true, capacityElsewhere: true},
		"all fail":               {servers: []Server{failing("a"), failing("b")}, last: true, ok: true, capacityElsewhere: true},
		"one does not fail":      {servers: []Server{failing("a"), idle("b")}, ok: true, capacityElsewhere: true},
		"refused too often":      {servers: []Server{idle("a"), idle("b"), idle("c"), idle("d"), idle("e")}, failed: []string{"a", "b", "c"}, ok: true},
		"refused once":           {servers: []Server{full("a"), idle("b"), idle("c")}, failed: []string{"a"}, ok: true, capacityElsewhere: true},
		"the others are full":    {servers: []Server{idle("a"), full("b"), full("c")}, failed: []string{"a"}, last: true, ok: true},
		"failed and handed back": {servers: []Server{idle("a"), slow("b"), idle("c")}, failed: []string{"a"}, handedBack: []string{"b"}, last: true, ok: true, capacityElsewhere: true},
	} {
		t.Run(name, func(t *testing.T) {
			var s Search
			for _, id := range c.handedBack {
				s.HandedBack(id)
			}
			for _, id := range c.failed {
				s.Failed(id)
			}
			copyServers := func() []Server { return append([]Server(nil), c.servers...) }
			_, last, ok := s.Next(&DefaultCosts, copyServers(), Request{Work: 50 * time.Millisecond}, now)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, last && ok, c.last)
			assert.Equal(t, s.HasCapacityElsewhere(&DefaultCosts, copyServers(), Request{Work: 50 * time.Millisecond}, now), c.capacityElsewhere)
		})
	}
}
