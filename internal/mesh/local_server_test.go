package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/uplink"
)

// Guards against the slowdown of an earlier server process being applied to the one
// that replaced it, and against a slowdown that is reset by each heartbeat.
func TestSlowdownBelongsToServerProcess(t *testing.T) {
	first := roster.Report{ID: "a", StartTime: 1, Seq: 1, State: roster.Ready, Slots: 4}
	for name, c := range map[string]struct {
		change func(p *serverProxy)
		kept   bool
	}{
		"next heartbeat": {func(p *serverProxy) {
			p.report(roster.Report{ID: "a", StartTime: 1, Seq: 2, State: roster.Ready, Slots: 4})
		}, true},
		"draining": {func(p *serverProxy) {
			p.report(roster.Report{ID: "a", StartTime: 1, Seq: 2, State: roster.Draining, Slots: 4})
		}, true},
		"another server": {func(p *serverProxy) {
			p.report(roster.Report{ID: "b", StartTime: 2, Seq: 1, State: roster.Ready, Slots: 4})
		}, false},
		"same name, later start": {func(p *serverProxy) {
			p.report(roster.Report{ID: "a", StartTime: 2, Seq: 1, State: roster.Ready, Slots: 4})
		}, false},
		"probe finds another":  {func(p *serverProxy) { p.serverFound("b", true) }, false},
		"was down for a while": {func(p *serverProxy) { p.down = true; p.serverFound("a", true) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &serverProxy{Options: &Options{Node: "n1", Service: "s", Log: &log.Logger{Handler: discard.New()}}, changed: func() {}, uplink: &uplink.Link{}, sizes: &answerSizes{}}
			p.report(first)
			p.limiter.Slowdown.Observe(5, time.Now())
			c.change(p)
			kept := p.limiter.Slowdown.Factor(time.Now()) == 5
			assert.Equal(t, kept, c.kept)
		})
	}
}

// Guards against a server that has deregistered or is draining and gets requests
// again, because its node has restarted since.
func TestDeregistrationSurvivesNodeRestart(t *testing.T) {
	report := func(p *serverProxy, state roster.State, startTime int64) bool {
		return p.report(roster.Report{ID: "a", StartTime: startTime, Seq: 9, State: state, Slots: 4}) == roster.Taken
	}
	for name, c := range map[string]struct {
		before  func(p *serverProxy)
		leaving bool
	}{
		"ready":                            {func(p *serverProxy) { report(p, roster.Ready, 7) }, false},
		"found unhealthy":                  {func(p *serverProxy) { p.serverFound("a", false) }, false},
		"draining":                         {func(p *serverProxy) { report(p, roster.Draining, 7) }, true},
		"gone":                             {func(p *serverProxy) { report(p, roster.Ready, 7); p.deregister("a", 0) }, true},
		"deregistered before it was known": {func(p *serverProxy) { p.deregister("a", 0) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			options := &Options{Node: "n1", Service: "s", Log: &log.Logger{Handler: discard.New()}}
			earlier := &serverProxy{Options: options, changed: func() {}}
			c.before(earlier)
			var e roster.Entry
			earlier.describe(&e)
			assert.Equal(t, e.Leaving, c.leaving)
			e.Node = "n1"

			n := &Node{Options: *options}
			n.Registry = &listRegistry{members: []Member{{Entry: e}}}
			n.assemble()
			n.serverProxy.serverFound("a", true)
			n.restore()
			assert.Equal(t, report(&n.serverProxy, roster.Ready, 7), !c.leaving)
			assert.Equal(t, n.serverProxy.server.State == roster.Ready, !c.leaving)
			assert.Assert(t, report(&n.serverProxy, roster.Ready, time.Now().Add(time.Second).UnixMilli()), "a later start")
			assert.Equal(t, n.serverProxy.server.State, roster.Ready)
		})
	}
}

// listRegistry is a registry with a fixed list of nodes.
type listRegistry struct {
	Registry
	members []Member
}

// Members implements Registry.
func (l *listRegistry) Members(context.Context) ([]Member, error) { return l.members, nil }

// Crashes implements Registry.
func (l *listRegistry) Crashes(context.Context, string) ([]quarantine.Incident, error) {
	return nil, nil
}
