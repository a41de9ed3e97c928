package config_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

func submit(t *testing.T, m *config.Manager, id, body string) config.Record {
	t.Helper()
	c := config.Change{ID: id, Author: "ana", Reason: "reason of " + id, Base: m.Version(), Body: body}
	r, err := m.Submit(context.Background(), c)
	assert.NilError(t, err)
	return r
}

// Guards against an undo that also reverts other changes, or that silently
// overwrites a later change of the same field.
func TestUndoKeepsOtherChanges(t *testing.T) {
	m := newCluster(1).nodes[0].manager
	submit(t, m, "a", "tenants: {geada: {weight: 1}}")
	submit(t, m, "b", "tenants: {geada: {weight: 2}, union: {weight: 1}}")
	submit(t, m, "c", "tenants: {geada: {weight: 2}, union: {weight: 5}}")
	_, err := m.Reverted(t.Context(), 3, 1)
	assert.Assert(t, fault.Is(err, fault.KindConflict), "%v", err)
	assert.ErrorContains(t, err, "tenants.geada was changed again")
	d, err := m.Reverted(t.Context(), 3, 3)
	assert.NilError(t, err)
	assert.Equal(t, len(config.Diff(d, decode(t, "tenants: {geada: {weight: 2}, union: {weight: 1}}"))), 0)
	history, err := m.History(t.Context(), 2)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[0].ID, "c")
	assert.Equal(t, history[1].Reason, "reason of b")
}

// Guards against a conflict that does not name the accepted change, and a change
// that is recorded without author or reason.
func TestConflictNamesAcceptedChange(t *testing.T) {
	c := newCluster(2)
	submit(t, c.nodes[0].manager, "a", "")
	_, err := c.nodes[1].manager.Submit(t.Context(), config.Change{ID: "b", Author: "rui", Reason: "r"})
	assert.Assert(t, fault.Is(err, fault.KindConflict), "%v", err)
	assert.ErrorContains(t, err, `version 1 was already made by ana: "reason of a"`)
	assert.ErrorContains(t, err, "rebase")
	assert.Equal(t, c.nodes[1].manager.Version(), config.Version(1), "the accepted change is in force")
	_, err = c.nodes[1].manager.Submit(t.Context(), config.Change{ID: "b", Author: "rui"})
	assert.ErrorContains(t, err, "change has no reason")
}

// Guards against two accepted changes for one version, and a node that returns to
// a lower version, when several goroutines submit at once.
func TestConcurrentChangesAcceptOnePerVersion(t *testing.T) {
	c := newCluster(4)
	const rounds = 20
	var accepted atomic.Int32
	var group sync.WaitGroup
	for i, n := range c.nodes {
		group.Go(func() {
			seen := config.Version(0)
			for round := range rounds {
				id := fmt.Sprintf("%d-%d", i, round)
				_, err := n.manager.Submit(t.Context(), config.Change{ID: id, Author: "ana", Reason: "race", Base: config.Version(round)})
				if err == nil {
					accepted.Add(1)
				} else if !fault.Is(err, fault.KindConflict) && !fault.Is(err, fault.KindBadRequest) {
					t.Errorf("change %s: %v", id, err)
				}
				if v := n.manager.Version(); v < seen {
					t.Errorf("node %d reverted from %d to %d", i, seen, v)
				} else {
					seen = v
				}
			}
		})
	}
	group.Wait()
	assert.NilError(t, c.nodes[0].manager.Poll(t.Context()))
	assert.Equal(t, int(accepted.Load()), int(c.nodes[0].manager.Version()))
	assert.Equal(t, int(accepted.Load()), rounds)
}
