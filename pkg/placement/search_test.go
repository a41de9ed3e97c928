package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that goes round among servers for ever, waits where
// it should go on, or is turned away while another server has room.
func TestSearch(t *testing.T) {
	now := time.Unix(1000, 0)
	idle := func(id string) Server { return Server{ID: id, Limit: 10, Seen: now} }
	slow := func(id string) Server { return Server{ID: id, Limit: 10, Slowdown: 5, Seen: now} }
	full := func(id string) Server { return Server{ID: id, Limit: 10, Running: 10, Wait: time.Second, Seen: now} }
	for name, c := range map[string]struct {
		servers       []Server
		back, failed  []string
		last, ok      bool
		roomElsewhere bool
	}{
		"first of several":       {servers: []Server{idle("a"), idle("b")}, ok: true, roomElsewhere: true},
		"the only one":           {servers: []Server{idle("a")}, last: true, ok: true, roomElsewhere: true},
		"none":                   {},
		"all failed":             {servers: []Server{idle("a")}, failed: []string{"a"}},
		"all handed back":        {servers: []Server{slow("a"), slow("b")}, back: []string{"a", "b"}, last: true, ok: true},
		"one is left":            {servers: []Server{slow("a"), idle("b")}, back: []string{"a"}, last: true, ok: true, roomElsewhere: true},
		"known to be full":       {servers: []Server{full("a"), full("b")}, last: true, ok: true},
		"enough trips":           {servers: []Server{slow("a"), slow("b"), slow("c"), slow("d"), slow("e"), idle("f"), idle("g")}, back: []string{"a", "b", "c", "d", "e"}, last: true, ok: true, roomElsewhere: true},
		"turned away too often":  {servers: []Server{idle("a"), idle("b"), idle("c"), idle("d"), idle("e")}, failed: []string{"a", "b", "c"}, ok: true},
		"turned away once":       {servers: []Server{full("a"), idle("b"), idle("c")}, failed: []string{"a"}, ok: true, roomElsewhere: true},
		"the others are full":    {servers: []Server{idle("a"), full("b"), full("c")}, failed: []string{"a"}, last: true, ok: true},
		"failed and handed back": {servers: []Server{idle("a"), slow("b"), idle("c")}, failed: []string{"a"}, back: []string{"b"}, last: true, ok: true, roomElsewhere: true},
	} {
		t.Run(name, func(t *testing.T) {
			var s Search
			for _, id := range c.back {
				s.HandedBack(id)
			}
			for _, id := range c.failed {
				s.Failed(id)
			}
			copied := func() []Server { return append([]Server(nil), c.servers...) }
			_, last, ok := s.Next(&DefaultCosts, copied(), Request{Work: 50 * time.Millisecond}, now)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, last && ok, c.last)
			assert.Equal(t, s.HasCapacityElsewhere(&DefaultCosts, copied(), Request{Work: 50 * time.Millisecond}, now), c.roomElsewhere)
		})
	}
}
