package evidence

import (
	"context"
	"sync"
	"time"
)

const (
	// maxConcurrentCalls is the maximum number of concurrent calls to peers.
	maxConcurrentCalls = 16
	// callTimeout is the timeout of the call to one peer.
	callTimeout = time.Second
	// collectTimeout is the timeout of the calls to all peers. If a region cannot
	// be reached, one second for each group of 16 unresponsive nodes would
	// exceed the operator client's timeout.
	collectTimeout = 8 * time.Second
)

// Nodes sends control messages to the other nodes.
type Nodes interface {
	// Peers returns the IDs of the other nodes, separated into reachable nodes and
	// nodes known to be unreachable.
	Peers() (reachable, unreachable []string)
	// Call sends a control message and returns the reply.
	Call(ctx context.Context, id, kind string, body []byte) ([]byte, error)
}

// collect calls all peers and passes each reply to handle, one at a time. It returns
// the nodes that are unreachable, did not reply, or whose reply handle rejected.
func collect(ctx context.Context, nodes Nodes, kind string, body []byte, handle func(id string, reply []byte) error) (unresponsive []string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	reachable, unresponsive := nodes.Peers()
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, id := range reachable {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			one, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reply, err := nodes.Call(one, id, kind, body)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = handle(id, reply)
			}
			if err != nil {
				unresponsive = append(unresponsive, id)
			}
		})
	}
	group.Wait()
	return unresponsive
}
