package daemon

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/store"
	endpoint "github.com/vanillasail/vanillasail/internal/store"
	"github.com/vanillasail/vanillasail/internal/table"
)

// Guards against refreshes that take several requests, and against a member that
// cannot write its row after a lost reply, a restart or the removal of the row.
func TestMemberRowTakesOneRequest(t *testing.T) {
	const key = "member/a"
	cases := map[string]struct {
		before   func(t *testing.T, s *store.Server, r *memberRows)
		requests int
	}{
		"refresh": {func(*testing.T, *store.Server, *memberRows) {}, 1},
		"restart": {func(t *testing.T, _ *store.Server, r *memberRows) {
			r.tag = ""
			_, err := r.List(t.Context(), "member/")
			assert.NilError(t, err)
		}, 2},
		"lost reply": {func(t *testing.T, s *store.Server, r *memberRows) {
			s.Table.SetFault(store.Fault{Lose: 1})
			assert.Assert(t, r.Put(t.Context(), key, []byte("2")) != nil)
		}, 4},
		"store down": {func(t *testing.T, s *store.Server, r *memberRows) {
			s.Table.SetFault(store.Fault{Down: true})
			assert.Assert(t, r.Put(t.Context(), key, []byte("2")) != nil)
			s.Table.SetFault(store.Fault{})
		}, 1},
		"row removed": {func(t *testing.T, _ *store.Server, r *memberRows) {
			assert.NilError(t, r.Delete(t.Context(), key, r.tag))
		}, 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := new(store.Server)
			assert.NilError(t, s.Start("127.0.0.1:0"))
			defer func() { assert.NilError(t, s.Stop(context.Background())) }()
			r := &memberRows{Client: table.Client{Endpoint: endpoint.Endpoint{Base: s.URL()}}, rowKey: key}
			assert.NilError(t, r.Put(t.Context(), key, []byte("1")))
			first := requests(s)
			assert.Equal(t, first, 1)
			tc.before(t, s, r)
			assert.NilError(t, r.Put(t.Context(), key, []byte("3")))
			row, err := r.Get(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, string(row.Value), "3")
			assert.Equal(t, requests(s)-first-1, tc.requests)
		})
	}
}

func requests(s *store.Server) (sum int) {
	for _, n := range s.Table.Counts().Operations {
		sum += n
	}
	return sum
}
