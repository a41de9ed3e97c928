// Package reach decides which peers get requests after some could not be
// reached. It does no I/O; the caller passes the time.
package reach

import "time"

// Peer follows whether one peer can be reached.
//
// Load pattern: a partition cuts off a third of all nodes for ten seconds. A
// node that tries each of them with a request now and then spends most of its
// requests on finding out that nothing has changed, and what may not be repeated
// fails for it. So a peer that failed gets no request until a probe, which costs
// nobody an answer, has come back.
//
// The zero value can be reached.
type Peer struct {
	// failures counts failures in a row.
	failures int
	// since is when the first of them was, and next when the next probe is due; both
	// are zero while the peer can be reached.
	since, next time.Time
}

const (
	// firstProbe is the pause before the first probe: longer than a lost packet
	// takes to be sent again.
	firstProbe = 250 * time.Millisecond
	// mostPause bounds the pause, which doubles; it is the time for which a peer
	// that is back may stay unused.
	mostPause = time.Second
	// lostAfter is how long a peer is probed before it is forgotten. Hosts that come
	// back tell of themselves, and partitions last for seconds to minutes.
	lostAfter = 2 * time.Minute
)

// Unreachable reports whether the peer gets no requests.
func (p *Peer) Unreachable() bool { return !p.next.IsZero() }

// Failed notes that the peer did not react. It reports whether that is news.
func (p *Peer) Failed(now time.Time) bool {
	news := !p.Unreachable()
	if !news && now.Before(p.next) {
		return false // what began before the first failure fails with it
	}
	if news {
		p.since = now
	}
	p.next = now.Add(min(firstProbe<<min(p.failures, 8), mostPause))
	p.failures++
	return news
}

// ProbeDue reports whether a probe should be sent now, and plans the one after it.
func (p *Peer) ProbeDue(now time.Time) bool {
	if !p.Unreachable() || now.Before(p.next) {
		return false
	}
	p.next = now.Add(mostPause)
	return true
}

// Expired reports whether the peer has been out for so long that it is gone.
func (p *Peer) Expired(now time.Time) bool { return p.Unreachable() && now.Sub(p.since) >= lostAfter }

// ProbeNow asks for a probe at once, because the peer itself has sent something. That
// it can send does not prove that it can be reached.
func (p *Peer) ProbeNow(now time.Time) {
	if p.Unreachable() {
		p.next = now
	}
}

// Answered notes that the peer reacted. It reports whether it was out.
func (p *Peer) Answered() bool {
	was := p.Unreachable()
	*p = Peer{}
	return was
}
