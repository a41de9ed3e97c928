package mesh

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// downRegistry is a registry that is down.
type downRegistry struct{ Registry }

var errDown = errors.New("down")

// Members implements Registry.
func (downRegistry) Members(context.Context) ([]Member, error) { return nil, errDown }

// Entry implements Registry.
func (downRegistry) Entry(context.Context, string) (Member, error) { return Member{}, errDown }

// Publish implements Registry.
func (downRegistry) Publish(context.Context, roster.Entry, uint64) (WriteResult, error) {
	return WriteResult{}, errDown
}

// Crashes implements Registry.
func (downRegistry) Crashes(context.Context, string) ([]quarantine.Incident, error) {
	return nil, errDown
}

// Configuration implements Registry.
func (downRegistry) Configuration(context.Context) (Snapshot, error) { return Snapshot{}, errDown }

// AwaitChange implements Registry.
func (downRegistry) AwaitChange(context.Context, uint64, time.Duration) (Snapshot, error) {
	return Snapshot{}, errDown
}

// Guards against a data race with the messages of other nodes, which know the address of an
// earlier process and may be served before the start is complete.
func TestMessagesDuringStart(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := reserved.Addr().String()
	assert.NilError(t, reserved.Close())
	n := &Node{Options: Options{
		Node: "n1", Domain: "d", Region: "r", Service: "s", Server: "127.0.0.1:1", Caller: "127.0.0.1:0", Peer: addr,
		Registry: downRegistry{}, Bounds: Bounds{Grace: time.Second}, Log: &log.Logger{Handler: discard.New()},
	}}
	head, err := encode(message{Update: &nodeUpdate{Entry: newEntry("n0", 1)}})
	assert.NilError(t, err)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		peers := peer.Client{Hello: []byte("n0")}
		defer peers.Close()
		for t.Context().Err() == nil {
			answer, err := peers.Call(t.Context(), addr, peer.Request{Head: head, AwaitAck: true})
			if err == nil {
				_ = answer.Body.Close()
				return
			}
		}
	}()
	assert.NilError(t, n.Start())
	t.Cleanup(n.Stop)
	<-answered
}
