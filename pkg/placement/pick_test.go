package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against each way in which a request goes to the wrong server.
func TestPick(t *testing.T) {
	now := time.Unix(1000, 0)
	seen := now.Add(-20 * time.Millisecond)
	near := Server{ID: "near", Distance: SameDomain, Limit: 10, Slowdown: 1, Seen: seen}
	region := Server{ID: "region", Distance: SameRegion, Limit: 10, Slowdown: 1, Seen: seen}
	far := Server{ID: "far", Distance: OtherRegion, Limit: 10, Slowdown: 1, Seen: seen}
	with := func(s Server, change func(s *Server)) Server {
		change(&s)
		return s
	}
	// The answers of downloads are large; their size does not count towards bytes.
	const lookup, upload, download = 2 << 10, 60 << 10, 1 << 10
	for name, c := range map[string]struct {
		servers []Server
		bytes   int
		tried   []string
		want    string
	}{
		"nearest when all are idle": {[]Server{far, region, near}, lookup, nil, "near"},
		"next domain when the nearest server is busy": {
			[]Server{with(near, func(s *Server) { s.Running = 9 }), region, far}, lookup, nil, "region",
		},
		"next domain when the nearest server is slow": {
			[]Server{with(near, func(s *Server) { s.Slowdown, s.SlowFor = 5, 150*time.Millisecond }), region, far}, lookup, nil, "region",
		},
		"own requests since the last figure count": {
			[]Server{with(near, func(s *Server) { s.LocalInFlight = 9 }), region}, lookup, nil, "region",
		},
		"other region when the local one is full for long": {
			[]Server{
				with(near, func(s *Server) { s.Wait = 200 * time.Millisecond }),
				with(region, func(s *Server) { s.Wait = 200 * time.Millisecond }), far,
			}, lookup, nil, "far",
		},
		"an upload waits rather than leaves its region": {
			[]Server{with(near, func(s *Server) { s.Wait = 100 * time.Millisecond }), far}, upload, []string{"near"}, "near",
		},
		"a large answer avoids a busy link": {
			[]Server{with(near, func(s *Server) { s.Backlog = 200 * time.Millisecond }), far}, download, nil, "far",
		},
		"a small answer does not wait for a link": {
			[]Server{with(near, func(s *Server) { s.Backlog = 200 * time.Millisecond }), far}, lookup, nil, "near",
		},
		"a failing server is the last": {
			[]Server{with(near, func(s *Server) { s.Avoid = now.Add(time.Second) }), far}, lookup, nil, "far",
		},
		"a failing server before one that cannot be reached": {
			[]Server{with(near, func(s *Server) { s.Unreachable = true }), with(far, func(s *Server) { s.Avoid = now.Add(time.Second) })}, lookup, nil, "far",
		},
		"a failing server when there is no other": {
			[]Server{with(near, func(s *Server) { s.Avoid = now.Add(time.Second) })}, lookup, nil, "near",
		},
		"an unhealthy server after a busy one": {
			[]Server{with(near, func(s *Server) { s.Unhealthy = true }), with(region, func(s *Server) { s.Running = 9 })}, lookup, nil, "region",
		},
		"a cold server after a busy one of the domain": {
			[]Server{with(near, func(s *Server) { s.WarmingUntil = now.Add(time.Second) }), region}, lookup, nil, "region",
		},
		"an old figure is ignored": {
			[]Server{with(near, func(s *Server) {
				s.Slowdown, s.SlowFor, s.Running, s.Seen = 5, 150*time.Millisecond, 10, now.Add(-2*time.Second)
			}), region}, lookup, nil, "near",
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 50 { // ties are broken at random
				costs := DefaultCosts
				choice, ok := costs.Pick(c.servers, Request{Bytes: c.bytes, LargeAnswer: c.bytes == download, Work: 100 * time.Millisecond, Tried: c.tried}, now)
				assert.Assert(t, ok)
				assert.Equal(t, choice.Server.ID, c.want)
			}
		})
	}
}

// Guards against a thundering herd: nodes with the same figures must not all pick
// the same server.
func TestEqualServersShareRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := make([]Server, 8)
	for i := range servers {
		servers[i] = Server{ID: string(rune('a' + i)), Distance: SameRegion, Limit: 10}
	}
	counts := make(map[string]int)
	for range 4000 {
		costs := DefaultCosts
		choice, _ := costs.Pick(servers, Request{}, now)
		counts[choice.Server.ID]++
	}
	for id, n := range counts {
		assert.Assert(t, n > 350 && n < 650, "server %s got %d of 4000", id, n)
	}
}
