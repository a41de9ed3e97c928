package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/pkg/budget"
)

// probeLog records the arrival times of probes by sender and receiver.
type probeLog struct {
	mu       sync.Mutex
	arrivals map[string][]time.Time
}

// watch records the probes that reach a node.
func (l *probeLog) watch(n *Node) {
	answer := n.transport.Controls[kindLoad]
	n.transport.Controls[kindLoad] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.arrivals == nil {
			l.arrivals = make(map[string][]time.Time)
		}
		l.arrivals[from+">"+n.ID] = append(l.arrivals[from+">"+n.ID], time.Now())
		return answer(ctx, from, body)
	}
}

// busiest returns the largest number of probes between two nodes within any second.
func (l *probeLog) busiest() (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, arrivals := range l.arrivals {
		for i := range arrivals {
			n := 0
			for j := i; j < len(arrivals) && arrivals[j].Sub(arrivals[i]) < time.Second; j++ {
				n++
			}
			most = max(most, n)
		}
	}
	return most
}

func (l *probeLog) total() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, arrivals := range l.arrivals {
		n += len(arrivals)
	}
	return n
}

// Guards against probes that exceed their budget, and against routing that depends on
// probes: with a budget of zero it uses the load that answers carry.
func TestProbesStayWithinTheirBudget(t *testing.T) {
	cases := map[string]struct {
		rate budget.Rate
		want int
	}{
		"zero":    {rate: budget.Rate{}},
		"limited": {rate: budget.Rate{Messages: 4, Bytes: 4 * probeBytes}, want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var log probeLog
			c := startClusterWith(t, 3, func(n *Node) {
				n.ServerBudget = &tc.rate
				log.watch(n)
			})
			for i := range 60 {
				response, _, err := c.call(context.Background(), i%3, http.MethodGet, fmt.Sprintf("/stock/item?delay=%d", i%7), nil, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
			c.connectAll(t)
			c.backgroundLookups(t)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if log.total() < tc.want {
					return poll.Continue("%d probes", log.total())
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
			assert.Assert(t, log.busiest() <= int(tc.rate.Messages), "%d probes of one server within a second", log.busiest())
		})
	}
}

// connectAll opens the connections that probes need.
func (c *cluster) connectAll(t *testing.T) {
	t.Helper()
	for _, from := range c.nodes {
		for _, to := range c.nodes {
			if from == to {
				continue
			}
			peer, ok := from.members.peer(to.ID)
			assert.Assert(t, ok)
			_, err := from.transport.Control(t.Context(), peer, kindConfigVersion, nil)
			assert.NilError(t, err)
		}
	}
}
