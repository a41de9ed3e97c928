package evidence

import (
	"context"
	"sync"
	"time"
)

const (
	// maxAsked bounds how many nodes are asked at once.
	maxAsked = 16
	// askTimeout bounds the wait for one node.
	askTimeout = time.Second
	// collectTimeout bounds the wait for all nodes: with a region cut off, one
	// second for each group of 16 silent nodes would outlast the operator.
	collectTimeout = 8 * time.Second
)

// Nodes reaches the other nodes.
type Nodes interface {
	// Peers returns the IDs of the other nodes that can be asked, and of those
	// that are known to be unreachable.
	Peers() (reachable, unreachable []string)
	// Call sends a control message and returns the reply.
	Call(ctx context.Context, id, kind string, body []byte) ([]byte, error)
}

// collect asks all other nodes and gives each reply to take, one at a time. It
// returns the nodes without a reply that take accepts.
func collect(ctx context.Context, nodes Nodes, kind string, body []byte, take func(id string, reply []byte) error) (silent []string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	reachable, silent := nodes.Peers()
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	slots := make(chan struct{}, maxAsked)
	for _, id := range reachable {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			one, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			reply, err := nodes.Call(one, id, kind, body)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = take(id, reply)
			}
			if err != nil {
				silent = append(silent, id)
			}
		})
	}
	group.Wait()
	return silent
}
