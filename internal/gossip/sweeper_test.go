package gossip_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/gossip"
	"github.com/vanillasail/vanillasail/internal/standin/store"
	endpoint "github.com/vanillasail/vanillasail/internal/store"
	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/member"
)

// rewritingTable is a table client with which the members in keys write their rows
// again just before they are removed.
type rewritingTable struct {
	table.Client
	t    *testing.T
	keys map[string]bool
}

func (r rewritingTable) Delete(ctx context.Context, key, etag string) error {
	if r.keys[key] {
		_, err := r.Swap(ctx, key, etag, []byte("written by the member"))
		assert.NilError(r.t, err)
	}
	return r.Client.Delete(ctx, key, etag)
}

// runSweeps creates the rows of two live members and of the given ones, runs a number
// of sweeps, and returns the IDs of the members whose rows are left. The rows with a
// key in back are written again just before they are removed. each is called before
// every sweep.
func runSweeps(t *testing.T, gone []member.Member, back map[string]bool, sweeps int, each func(s *store.Server, c table.Client, i int)) map[string]bool {
	s := new(store.Server)
	assert.NilError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	c := table.Client{Endpoint: endpoint.Endpoint{Base: s.URL()}}
	live := []member.Member{
		member.Member{Ref: member.Ref{ID: "oldest", Incarnation: 5}}.WithAddr("10.0.0.1:1"),
		member.Member{Ref: member.Ref{ID: "other", Incarnation: 6}}.WithAddr("10.0.0.2:1"),
	}
	for _, m := range append(live, gone...) {
		value, err := msgpack.Marshal(m)
		assert.NilError(t, err)
		_, err = c.Create(t.Context(), gossip.RowPrefix+m.ID, value)
		assert.NilError(t, err)
	}
	n := &gossip.Node{Protocol: &member.Protocol{Self: live[0]}}
	now := time.Unix(1, 0)
	n.Protocol.AddMembers(now, live)
	sweeper := gossip.Sweeper{Rows: rewritingTable{c, t, back}, Node: n}
	for i := range sweeps {
		each(s, c, i)
		_, _ = sweeper.Sweep(t.Context(), now)
		now = now.Add(gossip.SweepEvery)
	}
	s.Table.SetFault(store.Fault{})
	rows, err := c.List(t.Context(), gossip.RowPrefix)
	assert.NilError(t, err)
	left := make(map[string]bool)
	for _, r := range rows {
		left[r.Key[len(gossip.RowPrefix):]] = true
	}
	assert.Assert(t, left["oldest"] && left["other"], "the row of a live member was removed")
	return left
}

// Guards against rows that are never removed, and against the removal of rows whose
// members may return: a member that was paused or partitioned for less than a day, one
// that could not write during a store outage, and one that writes its row just before
// the removal. A lost reply to a removal must not stop further removals.
func TestOldRowsAreRemoved(t *testing.T) {
	gone := member.Member{Ref: member.Ref{ID: "gone", Incarnation: 7}}.WithAddr("10.0.0.3:1")
	superseded := gone.WithAddr("10.0.0.2:1").WithIncarnation(1)
	healthy := func(*store.Server, table.Client, int) {}
	cases := map[string]struct {
		member member.Member
		back   map[string]bool
		sweeps int
		each   func(s *store.Server, c table.Client, i int)
		stays  bool
	}{
		"superseded, seen once":   {superseded, nil, 1, healthy, true},
		"superseded":              {superseded, nil, 2, healthy, false},
		"superseded, writes":      {superseded, map[string]bool{"member/gone": true}, 2, healthy, true},
		"newer than the holder":   {superseded.WithIncarnation(9), nil, 10, healthy, true},
		"absent for a day":        {gone, nil, 144, healthy, true},
		"absent for over a day":   {gone, nil, 145, healthy, false},
		"writes when removed":     {gone, map[string]bool{"member/gone": true}, 145, healthy, true},
		"replies of removal lost": {gone, nil, 145, func(s *store.Server, _ table.Client, _ int) { s.Table.SetFault(store.Fault{Lose: 1}) }, false},
		"store down at the removal": {gone, nil, 146, func(s *store.Server, _ table.Client, i int) {
			s.Table.SetFault(store.Fault{Down: i == 144})
		}, false},
		"store down for days": {gone, nil, 700, func(s *store.Server, _ table.Client, i int) {
			s.Table.SetFault(store.Fault{Down: i > 100 && i < 660})
		}, true},
		"returned after 23 hours": {gone, nil, 200, func(_ *store.Server, c table.Client, i int) {
			if i == 138 {
				r, err := c.Get(context.Background(), "member/gone")
				assert.NilError(t, err)
				_, err = c.Swap(context.Background(), r.Key, r.Tag, r.Value)
				assert.NilError(t, err)
			}
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, runSweeps(t, []member.Member{tc.member}, tc.back, tc.sweeps, tc.each)["gone"], tc.stays)
		})
	}
}

// Guards against each of 710 nodes reading all rows.
func TestOnlyTheOldestSweeps(t *testing.T) {
	older := member.Member{Ref: member.Ref{ID: "older", Incarnation: 1}}.WithAddr("10.0.0.9:1")
	s := new(store.Server)
	assert.NilError(t, s.Start("127.0.0.1:0"))
	defer func() { assert.NilError(t, s.Stop(context.Background())) }()
	n := &gossip.Node{Protocol: &member.Protocol{Self: older.WithIncarnation(2).WithAddr("10.0.0.1:1")}}
	n.Protocol.Self.ID = "younger"
	now := time.Unix(1, 0)
	n.Protocol.AddMembers(now, []member.Member{older})
	sweeper := gossip.Sweeper{Rows: table.Client{Endpoint: endpoint.Endpoint{Base: s.URL()}}, Node: n}
	_, err := sweeper.Sweep(t.Context(), now)
	assert.NilError(t, err)
	assert.Equal(t, s.Table.Counts().Operations["list"], 0)
}

// malformedRow is a table with one row whose length field states a long name.
type malformedRow struct{}

func (malformedRow) List(context.Context, string) ([]table.Row, error) {
	return []table.Row{{Key: "member/x", Tag: "1", Value: []byte("\x81\xa1d\xdb\xff\xff\xff\xff")}}, nil
}

func (malformedRow) Delete(context.Context, string, string) error { return nil }

// Guards against a buffer that grows with each sweep that reads a malformed row.
func TestMalformedRowsDoNotGrowTheBuffer(t *testing.T) {
	n := &gossip.Node{Protocol: &member.Protocol{Self: member.Member{Ref: member.Ref{ID: "oldest", Incarnation: 1}}}}
	sweeper := gossip.Sweeper{Rows: malformedRow{}, Node: n}
	now := time.Unix(1, 0)
	n.Protocol.AddMembers(now, nil)
	for range 40 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := sweeper.Sweep(t.Context(), now)
		runtime.ReadMemStats(&after)
		assert.NilError(t, err)
		bytes := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, bytes < 4<<20, "%d bytes", bytes)
		now = now.Add(gossip.SweepEvery)
	}
}
