package http1

import (
	"net/http"
	"sync"
)

const (
	// maxPipelined limits the requests of one connection that are not yet answered, and
	// maxPipelinedBytes the size of those behind the first. A connection that exceeds a
	// limit is closed after the answers to the requests that were accepted; HTTP/1.1
	// callers send the others again on a new connection.
	maxPipelined      = 16
	maxPipelinedBytes = 256 << 10
)

// pipeline is the queue of requests of one connection, in the order of their arrival.
// Repeatable requests behind one another run at the same time. Any other request
// begins after all before it were answered, and none behind it begins earlier: the
// caller of a closed connection sends the requests behind the last answer again.
// The zero value is an empty queue.
type pipeline struct {
	mu    sync.Mutex
	queue []*exchange
	// waitingBytes is the total size of the queue without its first request.
	waitingBytes int
	// ended is set when no further request of the connection is accepted, refused when
	// there was one.
	ended, refused bool
	// badInput is the error for the input behind the last request, if any.
	badInput error
	// sealed is set when no further request begins.
	sealed bool
	// closed is set when the connection has ended.
	closed bool
}

// push adds a request. It returns false if the request is not accepted.
func (p *pipeline) push(x *exchange) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.ended {
		p.refused = true
		return false
	}
	if len(p.queue) > 0 {
		if len(p.queue) >= maxPipelined || p.waitingBytes+x.size > maxPipelinedBytes {
			p.ended, p.refused = true, true
			return false
		}
		p.waitingBytes += x.size
	}
	p.queue = append(p.queue, x)
	p.ended = x.request.Close
	return true
}

// end records that no further request is accepted, because the input is not valid. It
// returns false if no request is queued.
func (p *pipeline) end(badInput error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	if len(p.queue) == 0 {
		return false
	}
	p.badInput = badInput
	return true
}

// startable returns the requests behind the first one that may begin now, and marks
// them as begun.
func (p *pipeline) startable() []*exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var start []*exchange
	for i, x := range p.queue {
		if !x.repeatable || p.sealed || p.closed {
			break
		}
		if i > 0 && !x.begun {
			x.begun, x.answered = true, make(chan *http.Response, 1)
			start = append(start, x)
		}
	}
	return start
}

// front returns the exchange of a request whose turn it is to be answered; nil if it
// must not be answered. It marks the exchange as begun and reports whether the caller
// has to call the handler.
func (p *pipeline) front(parsed *http.Request, closed bool) (x *exchange, begin bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 || p.queue[0].parsed != parsed {
		return nil, false
	}
	x = p.queue[0]
	if x.begun {
		return x, false
	}
	if p.sealed || p.closed || closed {
		return nil, false
	}
	x.begun = true
	return x, true
}

// isLast reports whether the connection closes after the answer to the first request,
// and lets no further request begin in that case. While the server drains that is the
// last one that was read.
func (p *pipeline) isLast(draining bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.queue) == 1 && p.badInput == nil && p.ended:
		p.sealed = true
	case draining && len(p.queue) == 1:
		p.sealed = true
	}
	return p.sealed
}

// remove removes the first request after its answer. It returns the error for invalid
// input behind the last request once all requests were answered.
func (p *pipeline) remove() (badInput error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = p.queue[1:]
	if len(p.queue) > 0 {
		p.waitingBytes -= p.queue[0].size
		return nil
	}
	p.queue, p.waitingBytes = nil, 0
	return p.badInput
}

// unanswered reports whether the caller has sent requests that get no answer.
func (p *pipeline) unanswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0 || p.refused
}

// cancel cancels the requests that run.
func (p *pipeline) cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.queue {
		if x.begun {
			x.cancel()
		}
	}
}

// close empties the queue of an ended connection. It returns the requests that have
// not begun, and the number of those that were not answered.
func (p *pipeline) close() (waiting []*exchange, unanswered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	unanswered = len(p.queue)
	for _, x := range p.queue {
		x.cancel()
		switch {
		case !x.begun:
			waiting = append(waiting, x)
		case x.answered != nil:
			go x.discard()
		}
	}
	p.queue = nil
	return waiting, unanswered
}
