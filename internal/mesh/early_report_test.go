package mesh

import (
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// Guards against a heartbeat that arrives before the node has started: it is lost, or the
// node serves nothing any more.
func TestReportBeforeTheStart(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := reserved.Addr().String()
	assert.NilError(t, reserved.Close())
	n := &Node{Options: Options{
		Node: "n1", Domain: "d", Region: "r", Service: "s", Server: "127.0.0.1:1", Caller: "127.0.0.1:0", Peer: addr,
		Registry: downRegistry{}, Fresh: true, Bounds: Bounds{Grace: time.Second}, Log: &log.Logger{Handler: discard.New()},
	}}
	report := func(seq int64, state roster.State) roster.Report {
		return roster.Report{ID: "a", Service: "s", Addr: "127.0.0.1:1", State: state, Slots: 4, StartTime: 5, Seq: seq}
	}
	assert.Equal(t, n.Report(report(1, roster.Ready)), roster.Taken)
	assert.Equal(t, n.ReadyStatus(), 503)
	assert.Assert(t, n.MetricsText() != "")
	assert.NilError(t, n.Start())
	defer n.Stop()
	assert.Equal(t, n.Report(report(2, roster.Ready)), roster.Taken)
	assert.Equal(t, n.serverProxy.limit(), 4)
	assert.Assert(t, n.Deregister("a", 5))
}
