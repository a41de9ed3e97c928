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
	measureSeconds = 2
	busyBody       = 64 << 10
	// holdPath is the path of requests that are answered only after the end of a
	// measurement. They are not idempotent, so that none is hedged or retried until
	// then.
	holdPath = "/stock/item?delay=25000"
	holdTime = 28 * time.Second
)

// BenchmarkBusy measures a node of the target in its own process, with all its links,
// 260 caller connections and its whole state.
func BenchmarkBusy(b *testing.B) {
	// The first measurement starts the process, which ends with the benchmark.
	start := sync.OnceValue(func() *nodePair {
		p := startNodePair(b)
		for i := range p.busy {
			p.busy[i] = dialCallers(b, p.caller[i], targetCallers)
		}
		return p
	})
	for name, body := range map[string]int{"without body": 0, "with body": busyBody} {
		b.Run(name, func(b *testing.B) {
			report(b, "µs/request", []int{100, 200, 300, 400}, func(b *testing.B, rate int) float64 {
				return start().processorAtRate(b, rate, body)
			})
		})
	}
	b.Run("held from callers", func(b *testing.B) {
		report(b, "B/request", []int{0, 65, 130, 260}, func(b *testing.B, n int) float64 {
			return start().memoryInFlight(b, n, (*nodePair).holdFromCaller)
		})
	})
	b.Run("held from nodes", func(b *testing.B) {
		report(b, "B/request", []int{0, 500, 1000, 2000, 3000}, func(b *testing.B, n int) float64 {
			return start().memoryInFlight(b, n, (*nodePair).holdFromNode)
		})
	})
}

// processorAtRate returns the processor time in µs per second that the measured node
// uses while callers send requests at the rate to each of the two nodes, with bodies
// and answers of the size.
func (p *nodePair) processorAtRate(b *testing.B, rate, size int) float64 {
	var body []byte
	path := "/stock/item"
	if size > 0 {
		body, path = bytes.Repeat([]byte{'x'}, size), fmt.Sprint(path, "?size=", size)
	}
	p.openLinks(b)
	p.control(b, kindReset, nil)
	var wg sync.WaitGroup
	for _, c := range p.busy {
		wg.Go(func() { c.sendAtRate(rate, rate*measureSeconds, path, body) })
	}
	wg.Wait()
	u := p.usage(b)
	for _, c := range p.busy {
		assert.NilError(b, c.err())
	}
	b.Logf("%d/s of %d bytes: %s", rate, size, u)
	return 1e6 * u.Processor
}

// memoryInFlight returns the memory of the measured node with n requests in flight.
func (p *nodePair) memoryInFlight(b *testing.B, n int, hold func(*nodePair, context.Context, int) error) float64 {
	running := func() int { return len(p.servers[0].Journal.Runs()) + len(p.servers[1].Journal.Runs()) }
	before := running()
	p.openLinks(b)
	p.control(b, kindReset, nil)
	ctx, cancel := context.WithTimeout(context.Background(), holdTime)
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
	// Wait until the usageSampler has taken some samples.
	<-time.After(10 * tick)
	u := p.usage(b)
	b.Logf("%d held: %s", n, u)
	return float64(u.Live)
}

// holdFromNode sends a request to the measured node over one of the links that it
// accepted.
func (p *nodePair) holdFromNode(ctx context.Context, i int) error {
	peer := node.Peer{ID: fmt.Sprint("p", i%(targetAccepted-1)), Addr: p.Peer}
	deadline, _ := ctx.Deadline()
	answer, err := p.links.Call(ctx, peer, call.Request{
		ID: fmt.Sprint("held", i), Service: "stock", Method: http.MethodPost, URI: holdPath,
		Tenant: "geada", Class: "lookup", Deadline: deadline,
	})
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// holdFromCaller sends a request to the measured node over a new caller connection.
// Half of these requests go to the other node's server.
func (p *nodePair) holdFromCaller(ctx context.Context, _ int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Caller+holdPath, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Request-Timeout", fmt.Sprint(holdTime.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
