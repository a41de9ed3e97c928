package retry

import "time"

// Window bounds the second sends of all requests in every sliding span of time.
//
// Load pattern: many servers fail at the same moment, and each request that
// fails would be sent again at once. All nodes share one bound without a
// message: each keeps to the share that its own requests earn and to its part
// of the fixed allowance.
//
// The zero value allows nothing. Window is not safe for concurrent use.
type Window struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the number of second sends that one request earns.
	Ratio float64
	// Fixed is this node's part of the sends that need no earning.
	Fixed float64

	cells [windowCells]cell
	head  int
	begin time.Time
}

type cell struct{ requests, extra float64 }

// windowCells divides the window; its end is known to one tenth of the span.
const windowCells = 10

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.cells[w.head].requests++
}

// Take reports whether a request may be sent once more within a share of the
// bound, and counts it. Sends of all shares count together.
func (w *Window) Take(now time.Time, share float64) bool {
	w.advance(now)
	var requests, extra float64
	for _, c := range w.cells {
		requests += c.requests
		extra += c.extra
	}
	if extra+1 > share*(w.Ratio*requests+w.Fixed) {
		return false
	}
	w.cells[w.head].extra++
	return true
}

// advance drops the cells that have left the window.
func (w *Window) advance(now time.Time) {
	width := w.Span / windowCells
	if width <= 0 {
		return
	}
	if w.begin.IsZero() || now.Sub(w.begin) > 2*w.Span {
		w.cells, w.begin = [windowCells]cell{}, now
		return
	}
	for now.Sub(w.begin) >= width {
		w.begin = w.begin.Add(width)
		w.head = (w.head + 1) % windowCells
		w.cells[w.head] = cell{}
	}
}
