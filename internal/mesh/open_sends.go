package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/retry"
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
	late bool
	// reserving is set until a slot is reserved for the request, whose body has not been
	// sent.
	reserving bool
	// charge is that of the grant which the send uses; zero if it needs none.
	charge retry.Charge
	result sendResult
}

// discard releases what the result of a canceled send holds.
func (s send) discard() {
	if s.result.await != nil {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		s.result = s.result.await(canceled)
	}
	if s.result.answer != nil {
		_ = s.result.answer.Open().Close()
	}
	if s.result.slot != nil {
		s.result.slot.release()
	}
}

// openSends holds the sends of one request that run beside each other. A node that does
// not acknowledge a request in time may only be slow, so the request is sent to another
// node without giving up the first send. The zero value holds none.
type openSends struct {
	// count is the number of sends that have no result yet, and canceled that of others
	// whose results are discarded.
	count, canceled int
	results         chan send
	// sends holds the sends that may have to be canceled, by number.
	sends map[int]openSend
}

// openSend is a send without a result.
type openSend struct {
	cancel    context.CancelFunc
	reserving bool
}

// idle reports whether no result is outstanding, not even one to be discarded.
func (o *openSends) idle() bool { return o.count+o.canceled == 0 }

// start runs a send, or the rest of it, in its own goroutine.
func (o *openSends) start(ctx context.Context, s send, run func(ctx context.Context) sendResult) {
	if o.results == nil {
		o.results = make(chan send, maxSends)
		o.sends = make(map[int]openSend)
	}
	ctx, cancel := context.WithCancel(ctx)
	o.sends[s.number] = openSend{cancel: cancel, reserving: s.reserving}
	o.count++
	go func() {
		s.result = run(ctx)
		o.results <- s
	}()
}

// next waits for the next result. ok is false if no send is open or ctx has ended.
func (o *openSends) next(ctx context.Context) (s send, ok bool) {
	for o.count > 0 {
		select {
		case s = <-o.results:
		case <-ctx.Done():
			return s, false
		}
		opened, ok := o.sends[s.number]
		if !ok {
			o.canceled--
			go s.discard()
			continue
		}
		o.count--
		if s.result.answer == nil && s.result.slot == nil {
			opened.cancel()
		}
		// The body of an answer needs its context until the request has ended.
		delete(o.sends, s.number)
		return s, true
	}
	return s, false
}

// cancelReservations ends the sends that have not sent the body of the request.
func (o *openSends) cancelReservations() {
	for number, s := range o.sends {
		if s.reserving {
			s.cancel()
			delete(o.sends, number)
			o.count--
			o.canceled++
		}
	}
}

// cancelAll ends the sends that are open.
func (o *openSends) cancelAll() {
	for _, s := range o.sends {
		s.cancel()
	}
	if !o.idle() {
		go o.discard(o.count + o.canceled)
	}
}

// discard releases the results of n canceled sends.
func (o *openSends) discard(n int) {
	for range n {
		s := <-o.results
		s.discard()
	}
}
