package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// Guards against the pace of an earlier process that holds for the server which
// has replaced it, and against a pace that is forgotten with each heartbeat.
func TestPaceIsThatOfTheProcess(t *testing.T) {
	first := roster.Report{ID: "a", StartTime: 1, Seq: 1, State: roster.Ready, Slots: 4}
	for name, c := range map[string]struct {
		change func(f *far)
		kept   bool
	}{
		"next heartbeat":        {func(f *far) { f.report(roster.Report{ID: "a", StartTime: 1, Seq: 2, State: roster.Ready, Slots: 4}) }, true},
		"draining":              {func(f *far) { f.report(roster.Report{ID: "a", StartTime: 1, Seq: 2, State: roster.Draining, Slots: 4}) }, true},
		"another server":        {func(f *far) { f.report(roster.Report{ID: "b", StartTime: 2, Seq: 1, State: roster.Ready, Slots: 4}) }, false},
		"same name, later born": {func(f *far) { f.report(roster.Report{ID: "a", StartTime: 2, Seq: 1, State: roster.Ready, Slots: 4}) }, false},
		"probe finds another":   {func(f *far) { f.found("b", true) }, false},
		"was gone for a while":  {func(f *far) { f.lost = true; f.found("a", true) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := &far{Options: &Options{Node: "n1", Service: "s", Log: &log.Logger{Handler: discard.New()}}, changed: func() {}}
			f.report(first)
			f.gate.Slowdown.Observe(5, time.Now())
			c.change(f)
			kept := f.gate.Slowdown.Factor(time.Now()) == 5
			assert.Equal(t, kept, c.kept)
		})
	}
}

// Guards against a server that has said that it leaves and gets requests again,
// because its node has restarted since.
func TestFarewellOutlastsARestart(t *testing.T) {
	report := func(f *far, state roster.State, born int64) bool {
		return f.report(roster.Report{ID: "a", StartTime: born, Seq: 9, State: state, Slots: 4})
	}
	for name, c := range map[string]struct {
		before  func(f *far)
		leaving bool
	}{
		"ready":                        {func(f *far) { report(f, roster.Ready, 7) }, false},
		"found ill":                    {func(f *far) { f.found("a", false) }, false},
		"draining":                     {func(f *far) { report(f, roster.Draining, 7) }, true},
		"gone":                         {func(f *far) { report(f, roster.Ready, 7); f.left("a", 0) }, true},
		"farewell before it was known": {func(f *far) { f.left("a", 0) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			options := &Options{Node: "n1", Service: "s", Log: &log.Logger{Handler: discard.New()}}
			earlier := &far{Options: options, changed: func() {}}
			c.before(earlier)
			var e roster.Entry
			earlier.describe(&e)
			assert.Equal(t, e.Leaving, c.leaving)
			e.Node = "n1"

			n := &Node{Options: *options}
			n.Registry = &listed{members: []Member{{Entry: e}}}
			n.far.Options, n.far.changed = options, func() {}
			n.far.found("a", true)
			n.recall()
			assert.Equal(t, report(&n.far, roster.Ready, 7), !c.leaving)
			assert.Equal(t, n.far.server.State == roster.Ready, !c.leaving)
			assert.Assert(t, report(&n.far, roster.Ready, time.Now().Add(time.Second).UnixMilli()), "a later start")
			assert.Equal(t, n.far.server.State, roster.Ready)
		})
	}
}

// listed is a registry with a list of nodes.
type listed struct {
	Registry
	members []Member
}

func (l *listed) Members(context.Context) ([]Member, error) { return l.members, nil }
