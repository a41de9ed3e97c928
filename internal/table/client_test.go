package table_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/standin/store"
	endpoint "github.com/vanillasail/vanillasail/internal/store"
	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

func startStore(t *testing.T) (*store.Server, table.Client) {
	t.Helper()
	s := &store.Server{}
	assert.NilError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s, table.Client{Endpoint: endpoint.Endpoint{Base: s.URL()}}
}

// Guards against a conditional write that overwrites another writer's row.
func TestConditionalWrites(t *testing.T) {
	_, c := startStore(t)
	ctx := t.Context()
	first, err := c.Create(ctx, "config/1", []byte("a"))
	assert.NilError(t, err)
	_, err = c.Create(ctx, "config/1", []byte("b"))
	assert.Assert(t, fault.Is(err, fault.KindConflict), "%v", err)
	second, err := c.Swap(ctx, "config/1", first, []byte("c"))
	assert.NilError(t, err)
	_, err = c.Swap(ctx, "config/1", first, []byte("d"))
	assert.Assert(t, fault.Is(err, fault.KindConflict), "%v", err)
	assert.Assert(t, fault.Is(c.Delete(ctx, "config/1", first), fault.KindConflict))
	row, err := c.Get(ctx, "config/1")
	assert.NilError(t, err)
	assert.DeepEqual(t, row, table.Row{Key: "config/1", Value: []byte("c"), Tag: second})
	rows, err := c.List(ctx, "config/")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []table.Row{row})
	assert.NilError(t, c.Delete(ctx, "config/1", second))
	_, err = c.Get(ctx, "config/1")
	assert.Assert(t, fault.Is(err, fault.KindNotFound), "%v", err)
	_, err = c.Get(ctx, "../fault")
	assert.Assert(t, fault.Is(err, fault.KindBadRequest), "%v", err)
}

// Guards against the error store-down for a write that took effect, and against the
// error write-unknown for a write that cannot have taken effect.
func TestFaultsOfTheStore(t *testing.T) {
	cases := map[string]struct {
		fault            store.Fault
		count            string
		write, read      fault.Kind
		writeTakesEffect bool
	}{
		"down":       {store.Fault{Down: true}, "down", fault.KindStoreDown, fault.KindStoreDown, false},
		"silent":     {store.Fault{Silent: true}, "silent", fault.KindWriteUnknown, fault.KindStoreDown, false},
		"slow":       {store.Fault{Slow: 3 * time.Second}, "late", fault.KindWriteUnknown, fault.KindStoreDown, true},
		"lost reply": {store.Fault{Lose: 1}, "lost", fault.KindWriteUnknown, "", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, c := startStore(t)
			c.Timeout = 150 * time.Millisecond
			s.Table.SetFault(tc.fault)
			_, err := c.Create(t.Context(), "k", []byte("v"))
			assert.Assert(t, fault.Is(err, tc.write), "%v", err)
			if tc.read != "" {
				_, err = c.Get(t.Context(), "k")
				assert.Assert(t, fault.Is(err, tc.read), "%v", err)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if s.Table.Counts().Faults[tc.count] > 0 {
					return poll.Success()
				}
				return poll.Continue("fault %q was not counted", tc.count)
			})
			s.Table.SetFault(store.Fault{})
			_, err = c.Get(t.Context(), "k")
			assert.Equal(t, err == nil, tc.writeTakesEffect, "%v", err)
		})
	}
}

// Guards against the error write-unknown for a write whose connection was refused,
// and against a throttled write that is not reported with a time to wait.
func TestRefusedAndThrottled(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := table.Client{Endpoint: endpoint.Endpoint{Base: "http://" + l.Addr().String()}}
	assert.NilError(t, l.Close())
	_, err = gone.Create(t.Context(), "k", nil)
	assert.Assert(t, fault.Is(err, fault.KindStoreDown), "%v", err)

	s, c := startStore(t)
	s.Table.SetFault(store.Fault{Writes: 1})
	_, err = c.Create(t.Context(), "a", nil)
	assert.NilError(t, err)
	_, err = c.Create(t.Context(), "b", nil)
	assert.Assert(t, fault.Is(err, fault.KindStoreDown), "%v", err)
	assert.Assert(t, fault.As(err).Wait > 0)
	assert.Equal(t, s.Table.Counts().Faults["throttled"], 1)
	assert.Equal(t, s.Table.Counts().Operations["put"], 1)
}
