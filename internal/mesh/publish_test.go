package mesh

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// rowRegistry holds the entry of one node.
type rowRegistry struct {
	Registry
	row    Member
	writes int
	// lost is the number of next writes whose replies are lost.
	lost int
}

// Entry implements Registry.
func (r *rowRegistry) Entry(context.Context, string) (Member, error) { return r.row, nil }

// Publish implements Registry.
func (r *rowRegistry) Publish(_ context.Context, e roster.Entry, position uint64) (WriteResult, error) {
	if position != r.row.Position {
		return WriteResult{}, fault.New(fault.KindConflict, "position %d", r.row.Position)
	}
	r.writes++
	r.row = Member{Entry: e, Position: r.row.Position + 100}
	if r.lost > 0 {
		r.lost--
		return WriteResult{}, fault.New(fault.KindWriteUnknown, "no reply")
	}
	return WriteResult{Position: r.row.Position}, nil
}

// Guards against an entry that replaces one which this process has not read, that is
// written again although only the reply was lost, and that stays unwritten for the backoff
// after a conflict.
func TestEntryIsWrittenOverKnownRow(t *testing.T) {
	own, earlier := newEntry("n1", 7), newEntry("n1", 3)
	own.Start++
	earlier.Leaving = true
	older := own
	older.Change = 0
	for name, c := range map[string]struct {
		registry rowRegistry
		row      uint64
		known    bool
		writes   int
		restored bool
	}{
		"first entry":                     {rowRegistry{}, 0, true, 1, false},
		"next entry":                      {rowRegistry{row: Member{older, 5}}, 5, true, 1, false},
		"of an earlier process":           {rowRegistry{row: Member{earlier, 5}}, 0, false, 1, true},
		"of an earlier process, not read": {rowRegistry{row: Member{earlier, 5}}, 0, true, 1, true},
		"late write of this process":      {rowRegistry{row: Member{older, 6}}, 5, true, 1, false},
		"removed by another node":         {rowRegistry{}, 5, true, 1, false},
		"reply lost":                      {rowRegistry{lost: 1}, 0, true, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &announcer{Options: &Options{Registry: &c.registry, Log: &log.Logger{Handler: discard.New()}}, own: own, row: c.row, rowKnown: c.known}
				restored := false
				a.earlier = func(e roster.Entry) {
					restored = true
					assert.Equal(t, e.Start, earlier.Start)
					assert.Equal(t, c.registry.writes, 0, "taken over after the entry was written")
				}
				a.publish(t.Context())
				synctest.Wait()
				if name != "reply lost" {
					assert.Equal(t, c.registry.row.Start, own.Start, "not written at once")
				}
				a.awaitPublished(t.Context())
				assert.Equal(t, c.registry.row.Start, own.Start)
				assert.Equal(t, c.registry.row.Change, own.Change)
				assert.Equal(t, c.registry.writes, c.writes)
				assert.Equal(t, restored, c.restored)
				assert.Equal(t, a.row, c.registry.row.Position)
			})
		})
	}
}
