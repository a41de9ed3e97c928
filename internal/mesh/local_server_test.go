package mesh

import (
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
	first := roster.Report{ID: "a", Born: 1, Seq: 1, State: roster.Ready, Slots: 4}
	for name, c := range map[string]struct {
		change func(f *far)
		kept   bool
	}{
		"next heartbeat":        {func(f *far) { f.report(roster.Report{ID: "a", Born: 1, Seq: 2, State: roster.Ready, Slots: 4}) }, true},
		"draining":              {func(f *far) { f.report(roster.Report{ID: "a", Born: 1, Seq: 2, State: roster.Draining, Slots: 4}) }, true},
		"another server":        {func(f *far) { f.report(roster.Report{ID: "b", Born: 2, Seq: 1, State: roster.Ready, Slots: 4}) }, false},
		"same name, later born": {func(f *far) { f.report(roster.Report{ID: "a", Born: 2, Seq: 1, State: roster.Ready, Slots: 4}) }, false},
		"probe finds another":   {func(f *far) { f.found("b", true) }, false},
		"was gone for a while":  {func(f *far) { f.lost = true; f.found("a", true) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := &far{Options: &Options{Node: "n1", Service: "s", Log: &log.Logger{Handler: discard.New()}}, changed: func() {}}
			f.report(first)
			f.gate.Pace.Observe(5, time.Now())
			c.change(f)
			kept := f.gate.Pace.Factor(time.Now()) == 5
			assert.Equal(t, kept, c.kept)
		})
	}
}
