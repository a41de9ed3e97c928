package admission

import "time"

// maxPause bounds what a backend server's Retry-After can ask for; no request
// lives longer, so a longer pause would only hide the server.
const maxPause = 30 * time.Second

// ramp raises the usable slots from first to all of them.
type ramp struct {
	start  time.Time
	length time.Duration
	first  int
}

func (r *ramp) usable(slots int, now time.Time) int {
	if r.length == 0 || slots <= r.first {
		return slots
	}
	passed := min(max(now.Sub(r.start), 0), r.length)
	return r.first + int(int64(slots-r.first)*int64(passed)/int64(r.length))
}

// estimate is a running mean of the service time.
type estimate struct {
	mean time.Duration
}

// The mean follows the last eight or so requests: 12 slots at 10 ms adapt
// within about 10 ms, which is the order of a short slowdown by a neighbor.
const estimateWeight = 8

func (e *estimate) observe(d time.Duration) {
	if e.mean == 0 {
		e.mean = d
		return
	}
	e.mean += (d - e.mean) / estimateWeight
}
