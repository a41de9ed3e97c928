// Package uplink schedules what a host sends on its network link, so that large answers
// do not delay small ones. It does no I/O; the caller passes the time and waits.
package uplink

import (
	"sync"
	"time"
)

const (
	// queueTime is how much the link may have queued when the next part of a large
	// answer is sent. It keeps the link busy between two parts, and is the longest time
	// that a small answer waits for large ones.
	queueTime = 20 * time.Millisecond
	// usable is the share of the link's rate that is scheduled. The rest is for headers
	// of the network and for traffic of other processes on the host.
	usable = 0.9
)

// Link tracks what a link still has to send. The zero value is a link without a limit.
// It is safe for concurrent use.
//
// Load pattern: answers of 90 KB use most of a link of 12 Mbit/s. Each of a dozen
// connections sends as fast as its window allows, so that hundreds of kilobytes queue
// at the link, and answers of a few hundred bytes wait for all of them.
type Link struct {
	mu sync.Mutex
	// rate is in bytes per second; zero means no limit.
	rate float64
	// busyUntil is when the link will have sent all that was scheduled.
	busyUntil time.Time
}

// SetRate sets the rate of the link in bits per second; zero means no limit.
func (l *Link) SetRate(bits float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = bits / 8 * usable
}

// Schedule schedules n bytes and returns how long to wait before they are sent. Small
// messages may be sent at once instead.
func (l *Link) Schedule(n int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return 0
	}
	queued := l.backlog(now)
	if queued == 0 {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(l.time(n))
	return max(queued-queueTime, 0)
}

// Transfer returns how long an answer of n bytes that is scheduled now takes; zero
// without a limit.
func (l *Link) Transfer(n int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return 0
	}
	return l.backlog(now) + l.time(n)
}

func (l *Link) backlog(now time.Time) time.Duration { return max(l.busyUntil.Sub(now), 0) }

func (l *Link) time(n int) time.Duration {
	return time.Duration(float64(n) / l.rate * float64(time.Second))
}
