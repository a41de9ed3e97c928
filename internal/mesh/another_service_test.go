package mesh

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// Guards against a request that waits for a slot while the server that it is for goes: it
// would be sent without the server's name, or to a server of another service.
func TestWaitingRequestNeedsItsServer(t *testing.T) {
	for name, end := range map[string]func(n *Node){
		"another server at the address": func(*Node) {},
		"another service":               func(n *Node) { n.serverProxy.setBackend(Backend{"t", n.backend().Addr}) },
		"deregistered":                  func(n *Node) { n.serverProxy.deregister("i1", 0) },
		"found by a probe":              func(n *Node) { n.serverProxy.serverFound("i2", true) },
	} {
		t.Run(name, func(t *testing.T) {
			var first, others atomic.Int64
			release := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if first.Add(1) > 1 {
					others.Add(1)
				}
				<-release
				w.WriteHeader(http.StatusMisdirectedRequest)
			}))
			defer server.Close()
			n := &Node{Options: Options{Node: "n1", Service: "s", Server: strings.TrimPrefix(server.URL, "http://"), Fresh: true, Log: &log.Logger{Handler: discard.New()}}}
			n.assemble()
			p := &n.serverProxy
			p.changed = func() {}
			p.report(roster.Report{ID: "i1", State: roster.Ready, Slots: 1, StartTime: 5, Seq: 1})
			// Fresh figures, so that requests do not wait for a probe.
			p.limiter.Slowdown.Observe(1, time.Now())
			serve := func(id string) <-chan sendResult {
				done := make(chan sendResult, 1)
				deadline := time.Now().Add(20 * time.Second)
				go func() {
					done <- p.serve(t.Context(), call.Request{ID: id, Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Route: "r", Deadline: deadline, Objective: deadline, Last: true}, 0)
				}()
				return done
			}
			running := serve("running")
			poll.WaitOn(t, func(poll.LogT) poll.Result { return reached(first.Load() == 1) })
			waiting := serve("waiting")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				p.mu.Lock()
				defer p.mu.Unlock()
				return reached(p.limiter.Waiting() == 1)
			})
			end(n)
			close(release)
			assert.Assert(t, (<-running).err != nil)
			result := <-waiting
			assert.Assert(t, result.err != nil && result.err.Outcome == fault.Refused && !result.ran, "%v", result.err)
			assert.Equal(t, others.Load(), int64(0))
		})
	}
}

func reached(done bool) poll.Result {
	if done {
		return poll.Success()
	}
	return poll.Continue("not yet")
}

// Guards against a server of another service that is taken for the server of this host
// because it answers the health check at its address.
func TestServerThatAnswersNeedsTrust(t *testing.T) {
	first := roster.Report{ID: "a", Service: "s", Addr: "h:1", State: roster.Ready, Slots: 4, StartTime: 5, Seq: 1}
	next := roster.Report{ID: "b", Service: "s", Addr: "h:1", State: roster.Ready, Slots: 4, StartTime: 9, Seq: 1}
	for name, c := range map[string]struct {
		fresh  bool
		events func(n *Node)
		ready  string
	}{
		"first start of the system": {true, func(n *Node) { n.serverProxy.serverFound("a", true) }, "a"},
		"first start, unhealthy":    {true, func(n *Node) { n.serverProxy.serverFound("a", false) }, ""},
		"later start":               {false, func(n *Node) { n.serverProxy.serverFound("a", true) }, ""},
		"later start, entered before": {false, func(n *Node) {
			n.takeOver(roster.Entry{Service: "s", Server: "a"})
			n.serverProxy.serverFound("a", true)
		}, "a"},
		"entered before, another": {false, func(n *Node) {
			n.takeOver(roster.Entry{Service: "s", Server: "a"})
			n.serverProxy.serverFound("b", true)
		}, ""},
		"entered for another service": {false, func(n *Node) {
			n.takeOver(roster.Entry{Service: "t", Server: "a"})
			n.serverProxy.serverFound("a", true)
		}, ""},
		"back under its name":       {true, func(n *Node) { n.Report(first); n.serverProxy.markDown(); n.serverProxy.serverFound("a", true) }, "a"},
		"another one after a crash": {true, func(n *Node) { n.Report(first); n.serverProxy.markDown(); n.serverProxy.serverFound("b", true) }, ""},
		"it reports":                {true, func(n *Node) { n.Report(first); n.serverProxy.serverFound("b", true); n.Report(next) }, "b"},
		"clock went back": {true, func(n *Node) {
			n.Report(next)
			n.serverProxy.markDown()
			n.Report(first)
			n.serverProxy.serverFound("a", true)
		}, "a"},
		"report of an earlier server": {true, func(n *Node) { n.Report(next); n.Report(first); n.serverProxy.serverFound("b", true) }, "b"},
		"report of a server that left": {true, func(n *Node) {
			n.Report(first)
			n.Deregister("a", 5)
			n.Report(next)
			n.Report(first)
			n.serverProxy.serverFound("a", true)
		}, ""},
		"its report was held back": {false, func(n *Node) { n.Report(next); n.serverProxy.serverFound("b", true) }, "b"},
		"it reports another service": {true, func(n *Node) {
			n.Report(first)
			n.serverProxy.serverFound("b", true)
			n.Report(roster.Report{ID: "b", Service: "t", Addr: "h:1", State: roster.Ready, Slots: 4, StartTime: 9})
		}, ""},
		"it reports another address": {true, func(n *Node) {
			n.Report(roster.Report{ID: "b", Service: "s", Addr: "h:2", State: roster.Ready, Slots: 4})
		}, ""},
		"another service": {true, func(n *Node) {
			n.Report(first)
			n.serverProxy.setBackend(Backend{"t", "h:1"})
			n.serverProxy.serverFound("a", true)
		}, ""},
		"held back, another service": {false, func(n *Node) {
			n.Report(next)
			n.serverProxy.setBackend(Backend{"t", "h:1"})
			n.serverProxy.serverFound("b", true)
		}, ""},
		"service changes on the start": {true, func(n *Node) { n.serverProxy.setBackend(Backend{"t", "h:1"}); n.serverProxy.serverFound("a", true) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{Options: Options{Node: "n1", Service: "s", Server: "h:1", Fresh: c.fresh, Log: &log.Logger{Handler: discard.New()}}}
			n.assemble()
			n.serverProxy.changed = func() {}
			c.events(n)
			ready := ""
			if n.serverProxy.server.State == roster.Ready {
				ready = n.serverProxy.server.ID
			}
			assert.Equal(t, ready, c.ready)
		})
	}
}
