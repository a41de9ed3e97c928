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

// probeLog counts the probes that reach nodes, by the second of arrival at any
// alignment.
type probeLog struct {
	mu sync.Mutex
	at map[string][]time.Time
}

// watch counts the probes that reach a node.
func (l *probeLog) watch(n *Node) {
	answer := n.peers.Controls[kindLoad]
	n.peers.Controls[kindLoad] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.at == nil {
			l.at = make(map[string][]time.Time)
		}
		l.at[from+">"+n.ID] = append(l.at[from+">"+n.ID], time.Now())
		return answer(ctx, from, body)
	}
}

// busiest returns the largest number of probes of one server within a second.
func (l *probeLog) busiest() (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.at {
		for i := range at {
			n := 0
			for j := i; j < len(at) && at[j].Sub(at[i]) < time.Second; j++ {
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
	for _, at := range l.at {
		n += len(at)
	}
	return n
}

// Guards against measuring that exceeds its budget, and against routing that
// needs measuring: with a budget of zero it goes on by what answers carry.
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
			c := startChanged(t, 3, func(n *Node) {
				n.ServerBudget = &tc.rate
				log.watch(n)
			})
			for i := range 60 {
				response, _, err := c.call(context.Background(), i%3, http.MethodGet, fmt.Sprintf("/stock/item?delay=%d", i%7), nil, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
			c.connectAll(t)
			c.innocents(t)
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

// connectAll opens the links that probes need.
func (c *cluster) connectAll(t *testing.T) {
	t.Helper()
	for _, from := range c.nodes {
		for _, to := range c.nodes {
			if from == to {
				continue
			}
			peer, ok := from.members.peer(to.ID)
			assert.Assert(t, ok)
			_, err := from.peers.Control(t.Context(), peer, kindConfigVersion, nil)
			assert.NilError(t, err)
		}
	}
}
