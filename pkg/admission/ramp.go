package admission

import "time"

// maxPause bounds the pause that a backend server can request by Retry-After. No
// request lives longer, so a longer pause would only leave the server unused.
const maxPause = 30 * time.Second

// ramp raises the number of usable slots from first to all of them.
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

// The mean covers about the last eight requests: 12 slots at 10 ms adapt within
// about 10 ms, which is the order of a short slowdown by another tenant of the host.
const estimateWeight = 8

func (e *estimate) observe(d time.Duration) {
	if e.mean == 0 {
		e.mean = d
		return
	}
	e.mean += (d - e.mean) / estimateWeight
}
