package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/placement"
)

// send is one send of a request.
type send struct {
	// number counts the sends of the request from one.
	number int
	choice placement.Choice
	// last is set when the request should wait at the server.
	last bool
	at   time.Time
	// late is set when the node did not acknowledge the send in time and it stayed open.
	late   bool
	result sendResult
}

// openSends holds the sends of one request that run beside each other. A node that does
// not acknowledge a request in time may only be slow, so the request is sent to another
// node without giving up the first send. The zero value holds none.
type openSends struct {
	// count is the number of sends that have no result yet.
	count   int
	results chan send
	// cancels holds a function for each send that ends it.
	cancels map[int]context.CancelFunc
}

// start runs a send, or the rest of it, in its own goroutine.
func (o *openSends) start(ctx context.Context, s send, run func(ctx context.Context) sendResult) {
	if o.results == nil {
		o.results = make(chan send, maxSends)
		o.cancels = make(map[int]context.CancelFunc)
	}
	ctx, o.cancels[s.number] = context.WithCancel(ctx)
	o.count++
	go func() {
		s.result = run(ctx)
		o.results <- s
	}()
}

// next waits for the next result. ok is false if no send is open or ctx has ended.
func (o *openSends) next(ctx context.Context) (s send, ok bool) {
	if o.count == 0 {
		return s, false
	}
	select {
	case s = <-o.results:
	case <-ctx.Done():
		return s, false
	}
	o.count--
	if s.result.answer == nil {
		o.cancels[s.number]()
	}
	// The body of an answer needs its context until the request has ended.
	delete(o.cancels, s.number)
	return s, true
}

// cancelAll ends the sends that are open.
func (o *openSends) cancelAll() {
	for _, cancel := range o.cancels {
		cancel()
	}
	if o.count > 0 {
		go o.discard(o.count)
	}
}

// discard releases the results of n canceled sends.
func (o *openSends) discard(n int) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for range n {
		s := <-o.results
		if s.result.await != nil {
			s.result = s.result.await(canceled)
		}
		if s.result.answer != nil {
			_ = s.result.answer.Open().Close()
		}
	}
}
