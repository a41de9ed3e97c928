package node

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	// maxSpare is the number of links up to which those that were opened for a
	// question stay open for the next one.
	maxSpare = 64
	// minAsking is the number of questions for which idle links of requests are
	// closed when all links are taken. With fewer, asking 709 nodes would take
	// longer than an operator waits.
	minAsking = 4
	// askPause is how often a question that waits for a link tries again.
	askPause = 5 * time.Millisecond
)

// Ask is Control for a question to all nodes, of which there are more than
// links. When few links are left it closes the one that it opened, and it waits
// for the end of other questions rather than close links of requests.
func (t *Transport) Ask(ctx context.Context, peer Peer, kind string, body []byte) ([]byte, error) {
	l, err := t.linkToAsk(ctx, peer)
	if err != nil {
		return nil, err
	}
	defer t.asked(l)
	return t.control(ctx, l, peer, kind, body)
}

// linkToAsk lets questions try in the order in which they came. Otherwise those
// that wait could be passed by new ones until their deadlines.
func (t *Transport) linkToAsk(ctx context.Context, peer Peer) (*link, error) {
	late := fault.New(fault.KindDeadline, "no connection for a question to node %s before the deadline", peer.ID).
		WithOutcome(fault.Refused)
	select {
	case t.asking <- struct{}{}:
		defer func() { <-t.asking }()
	case <-ctx.Done():
		return nil, late
	}
	for {
		if l, err := t.tryToAsk(peer); l != nil || err != nil {
			return l, err
		}
		select {
		case <-time.After(askPause):
		case <-ctx.Done():
			return nil, late
		}
	}
}

// tryToAsk returns a link with one more request in flight, or nil while the
// question has to wait.
func (t *Transport) tryToAsk(peer Peer) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, err := t.known(peer); l != nil || err != nil {
		return l, err
	}
	if len(t.links) < maxLinks {
		return t.add(peer), nil
	}
	asking, spare := 0, false
	for _, l := range t.links {
		if !l.called.Load() {
			asking++
			spare = spare || l.inFlight.Load() == 0
		}
	}
	if !spare && asking >= minAsking || !t.evictIdle() {
		return nil, nil
	}
	return t.add(peer), nil
}

// asked ends a question.
func (t *Transport) asked(l *link) {
	t.mu.Lock()
	drop := len(t.links) > maxSpare && t.links[l.peer.ID] == l && !l.called.Load() && l.inFlight.Load() == 0
	if drop {
		delete(t.links, l.peer.ID)
	}
	t.mu.Unlock()
	if drop {
		l.retire("question answered")
	}
}
