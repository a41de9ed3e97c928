package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// backdateLastUse makes the accepted connections look unused for longer than
// minEvictIdle.
func backdateLastUse(t *Transport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.accepted {
		a.lastUsed = a.lastUsed.Add(-2 * minEvictIdle)
	}
}

// Guards against an unbounded number of accepted connections, and against evicting a
// connection with a request in flight.
func TestAcceptedConnectionsAreBounded(t *testing.T) {
	a := authority(t)
	started, finish := make(chan struct{}), make(chan struct{})
	far := listen(t, "far", credentials(t, a), calls(func(ctx context.Context, r call.Request) (*call.Answer, error) {
		if r.ID == "slow" {
			close(started)
			<-finish
		}
		return echo(ctx, r)
	}))
	slow := make(chan error, 1)
	go func() {
		answer, err := listen(t, "first", credentials(t, a), nil).Call(t.Context(), peerOf(far), call.Request{ID: "slow"})
		if err == nil {
			err = answer.Body.Close()
		}
		slow <- err
	}()
	<-started
	for _, id := range []string{"a", "b"} {
		near := listen(t, id, credentials(t, a), nil)
		for i := range maxAccepted {
			peer := Peer{ID: fmt.Sprint("p", i), Addr: far.Addr()}
			if i == maxAccepted/2 {
				backdateLastUse(far)
			}
			answer, err := near.Call(t.Context(), peer, call.Request{ID: "1"})
			if fault.As(err).Outcome == fault.Refused {
				// The connections were opened in less than minEvictIdle.
				backdateLastUse(far)
				answer, err = near.Call(t.Context(), peer, call.Request{ID: "1"})
			}
			assert.NilError(t, err, "%s %d", id, i)
			assert.NilError(t, answer.Body.Close())
			assert.Assert(t, far.Accepted() <= maxAccepted, "%d connections", far.Accepted())
		}
	}
	close(finish)
	assert.NilError(t, <-slow, "the request in flight was cut off")
}

// Guards against reporting a request as possibly run although the remote node closed
// the connection because it has too many.
func TestConnectionBeyondTheBoundIsRefused(t *testing.T) {
	a := authority(t)
	far, near := listen(t, "far", credentials(t, a), calls(echo)), listen(t, "near", credentials(t, a), nil)
	far.mu.Lock()
	far.accepted = make(map[*quic.Conn]*accepted)
	for range maxAccepted {
		conn := new(quic.Conn)
		far.accepted[conn] = &accepted{conn: conn, inFlight: 1, lastUsed: time.Now()}
	}
	far.mu.Unlock()
	_, err := exchange(near, far, nil)
	assert.Equal(t, fault.As(err).Outcome, fault.Refused, "%v", err)
	far.mu.Lock()
	clear(far.accepted)
	far.mu.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := exchange(near, far, nil); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
}
