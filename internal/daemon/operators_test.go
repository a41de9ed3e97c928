package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// Guards against servers that are shown as draining because their node is paused or
// cannot be reached.
func TestPausedServerIsNotShownAsDraining(t *testing.T) {
	for name, c := range map[string]struct {
		announced, state member.State
		want             string
	}{
		"alive":            {member.StateAlive, member.StateAlive, "alive"},
		"paused":           {member.StateAlive, member.StateDead, "dead"},
		"paused, draining": {member.StateDraining, member.StateDead, "dead"},
		"unreachable":      {member.StateAlive, member.StateUnreachable, "unreachable"},
		"suspect":          {member.StateAlive, member.StateSuspect, "suspect"},
		"draining":         {member.StateDraining, member.StateDraining, "draining"},
		"suspect draining": {member.StateDraining, member.StateSuspect, "draining"},
		"leaving":          {member.StateLeaving, member.StateLeaving, "draining"},
	} {
		t.Run(name, func(t *testing.T) {
			m := member.Member{Ref: member.Ref{ID: "n1", Incarnation: 1}, Service: "s", Slots: 1, Announced: c.announced, State: c.state}
			var routes routing.Table
			(&membership{routes: &routes}).updateRoute(m, "", time.Now())
			assert.Equal(t, serverState(m, routes.Snapshot("s")[0]), c.want)
		})
	}
}
