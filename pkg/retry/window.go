package retry

import "time"

// Window limits the resends of all requests in every sliding span of time.
//
// Load pattern: many servers fail at the same time, and every failed request would
// be sent again at once. The nodes keep one common limit without exchanging
// messages: each is limited to the share that its own requests earn plus its part
// of the fixed allowance.
//
// The zero value allows nothing. Window is not safe for concurrent use.
type Window struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the number of resends that one request earns.
	Ratio float64
	// Fixed is this node's part of the resends that are allowed without any
	// requests.
	Fixed float64

	cells [windowCells]cell
	// number is that of the present cell, counted from the first one. It is at this
	// number modulo windowCells.
	number    uint64
	cellStart time.Time
}

type cell struct{ requests, resends float64 }

// windowCells is the number of cells in a window, so that its end is accurate to a
// tenth of the span.
const windowCells = 10

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.cells[w.number%windowCells].requests++
}

// Take reports whether a request may be resent within a share of the limit, and
// counts the resend if so. Resends of all shares count towards the same limit.
func (w *Window) Take(now time.Time, share float64) bool {
	if !w.allows(now, share, 1) {
		return false
	}
	w.charge(now, 1)
	return true
}

// allows reports whether n resends are within a share of the limit.
func (w *Window) allows(now time.Time, share, n float64) bool {
	w.advance(now)
	var requests, resends float64
	for _, c := range w.cells {
		requests += c.requests
		resends += c.resends
	}
	return resends+n <= share*(w.Ratio*requests+w.Fixed)
}

// charge counts n resends and returns the number of their cell.
func (w *Window) charge(now time.Time, n float64) uint64 {
	w.advance(now)
	w.cells[w.number%windowCells].resends += n
	return w.number
}

// refund takes back n resends of a cell that may have left the window.
func (w *Window) refund(now time.Time, number uint64, n float64) {
	w.advance(now)
	if w.number-number < windowCells {
		c := &w.cells[number%windowCells]
		c.resends = max(0, c.resends-n)
	}
}

// advance clears the cells that have left the window.
func (w *Window) advance(now time.Time) {
	width := w.Span / windowCells
	if width <= 0 {
		return
	}
	if w.cellStart.IsZero() || now.Sub(w.cellStart) > 2*w.Span {
		w.cells, w.cellStart = [windowCells]cell{}, now
		w.number += windowCells
		return
	}
	for now.Sub(w.cellStart) >= width {
		w.cellStart = w.cellStart.Add(width)
		w.number++
		w.cells[w.number%windowCells] = cell{}
	}
}
