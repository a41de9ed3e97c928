package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/node"
)

const (
	busySeconds = 2
	busyBody    = 64 << 10
	// heldPath is answered after longer than a measurement takes. Requests are
	// not idempotent, so that none is hedged or sent again meanwhile.
	heldPath = "/stock/item?delay=25000"
	heldTime = 28 * time.Second
)

// BenchmarkBusy measures a node in a process of its own that holds all its
// links, 260 caller connections and the state of the target.
func BenchmarkBusy(b *testing.B) {
	// The process starts at the first measurement and ends after the last.
	start := sync.OnceValue(func() *pair {
		p := startPair(b)
		for i := range p.busy {
			p.busy[i] = dialCallers(b, p.caller[i], targetCallers)
		}
		return p
	})
	for name, body := range map[string]int{"without body": 0, "with body": busyBody} {
		b.Run(name, func(b *testing.B) {
			report(b, "µs/request", []int{100, 200, 300, 400}, func(b *testing.B, rate int) float64 {
				return start().paced(b, rate, body)
			})
		})
	}
	b.Run("held from callers", func(b *testing.B) {
		report(b, "B/request", []int{0, 65, 130, 260}, func(b *testing.B, n int) float64 {
			return start().held(b, n, (*pair).holdFromCaller)
		})
	})
	b.Run("held from nodes", func(b *testing.B) {
		report(b, "B/request", []int{0, 500, 1000, 2000, 3000}, func(b *testing.B, n int) float64 {
			return start().held(b, n, (*pair).holdFromNode)
		})
	})
}

// paced returns the processor time in µs that the node takes in a second for a
// rate of requests that enter at it, and as many at the other node, with bodies
// and answers of the size.
func (p *pair) paced(b *testing.B, rate, size int) float64 {
	var body []byte
	path := "/stock/item"
	if size > 0 {
		body, path = bytes.Repeat([]byte{'x'}, size), fmt.Sprint(path, "?size=", size)
	}
	p.openLinks(b)
	p.control(b, kindReset, nil)
	var wg sync.WaitGroup
	for _, c := range p.busy {
		wg.Go(func() { c.pace(rate, rate*busySeconds, path, body) })
	}
	wg.Wait()
	u := p.usage(b)
	for _, c := range p.busy {
		assert.NilError(b, c.err())
	}
	b.Logf("%d/s of %d bytes: %s", rate, size, u)
	return 1e6 * u.Processor
}

// held returns the memory of the node with n requests in flight.
func (p *pair) held(b *testing.B, n int, hold func(*pair, context.Context, int) error) float64 {
	running := func() int { return len(p.servers[0].Journal.Runs()) + len(p.servers[1].Journal.Runs()) }
	before := running()
	p.openLinks(b)
	p.control(b, kindReset, nil)
	ctx, cancel := context.WithTimeout(context.Background(), heldTime)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	failed := make(chan error, n)
	for i := range n {
		wg.Go(func() {
			if err := hold(p, ctx, i); err != nil && ctx.Err() == nil {
				failed <- err
			}
		})
	}
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		select {
		case err := <-failed:
			return poll.Error(err)
		default:
		}
		if got := running() - before; got < n {
			return poll.Continue("%d of %d requests run", got, n)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(tick))
	// Some readings of the watcher.
	<-time.After(10 * tick)
	u := p.usage(b)
	b.Logf("%d held: %s", n, u)
	return float64(u.Live)
}

// holdFromNode sends a request over one of the links that the node accepted.
func (p *pair) holdFromNode(ctx context.Context, i int) error {
	peer := node.Peer{ID: fmt.Sprint("p", i%(targetAccepted-1)), Addr: p.Peer}
	deadline, _ := ctx.Deadline()
	answer, err := p.links.Call(ctx, peer, call.Request{
		ID: fmt.Sprint("held", i), Service: "stock", Method: http.MethodPost, URI: heldPath,
		Tenant: "geada", Class: "lookup", Deadline: deadline,
	})
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// holdFromCaller sends a request to the node over a connection of its own; half
// of them cross to the other node.
func (p *pair) holdFromCaller(ctx context.Context, _ int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Caller+heldPath, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Request-Timeout", fmt.Sprint(heldTime.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
