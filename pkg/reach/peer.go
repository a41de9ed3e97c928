// Package reach tracks the reachability of peers, so that requests avoid those that
// failed to respond. It does no I/O; the caller passes the time.
package reach

import "time"

// Peer tracks whether one peer can be reached.
//
// Load pattern: a partition cuts off a third of all nodes for ten seconds. A node
// that tries each of them with a request from time to time loses most of its
// requests to peers that are still cut off, and requests that may not be repeated
// fail. A peer that failed therefore gets no requests until it has answered a probe,
// which risks no caller's request.
//
// The zero value can be reached.
type Peer struct {
	// failures counts failures in a row.
	failures int
	// since is the time of the first failure, next the time of the next probe. Both
	// are zero while the peer can be reached.
	since, next time.Time
}

const (
	// firstProbe is the delay before the first probe. It is longer than the
	// retransmission of a lost packet takes.
	firstProbe = 250 * time.Millisecond
	// maxInterval bounds the interval between probes, which doubles. A peer that has
	// recovered may stay unused for this long.
	maxInterval = time.Second
	// expiry is how long a peer is probed before it is forgotten. A host that comes
	// back publishes its address again, and partitions last for seconds to minutes.
	expiry = 2 * time.Minute
)

// Unreachable reports whether the peer gets no requests.
func (p *Peer) Unreachable() bool { return !p.next.IsZero() }

// Failed records that the peer did not respond. It reports whether the peer counted
// as reachable before.
func (p *Peer) Failed(now time.Time) bool {
	first := !p.Unreachable()
	if !first && now.Before(p.next) {
		return false // the request began before the first failure and adds no information
	}
	if first {
		p.since = now
	}
	p.next = now.Add(min(firstProbe<<min(p.failures, 8), maxInterval))
	p.failures++
	return first
}

// ProbeDue reports whether a probe should be sent now, and schedules the next one.
func (p *Peer) ProbeDue(now time.Time) bool {
	if !p.Unreachable() || now.Before(p.next) {
		return false
	}
	p.next = now.Add(maxInterval)
	return true
}

// Expired reports whether the peer has been unreachable for so long that it can be
// forgotten.
func (p *Peer) Expired(now time.Time) bool { return p.Unreachable() && now.Sub(p.since) >= expiry }

// ProbeNow schedules a probe at once, because a message from the peer has arrived.
// That message does not prove that the peer can be reached.
func (p *Peer) ProbeNow(now time.Time) {
	if p.Unreachable() {
		p.next = now
	}
}

// Answered records that the peer responded. It reports whether it was unreachable
// before.
func (p *Peer) Answered() bool {
	wasUnreachable := p.Unreachable()
	*p = Peer{}
	return wasUnreachable
}
