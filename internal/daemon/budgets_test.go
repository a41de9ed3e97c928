package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/member"
)

// fixedRoster is what one node knows of the members.
type fixedRoster []member.Member

func (r fixedRoster) Members() []member.Member { return r }

func rosterOf(nodes map[string]int) (r fixedRoster) {
	for region, n := range nodes {
		for i := range n {
			r = append(r, member.Member{Ref: member.Ref{ID: fmt.Sprint(region, i)}, Region: region})
		}
	}
	return r
}

// TestNodesShareTheTotal guards against a link whose traffic for measuring is
// the budget times the number of nodes, also while nodes join, are taken for
// dead by mistake or do not know each other yet.
func TestNodesShareTheTotal(t *testing.T) {
	total := config.Budget{Messages: 300, Bytes: 30000}
	document := config.Document{Budgets: config.Budgets{Total: config.Totals{
		Links: config.LinkBudgets{"poa": {"cwb": total}},
	}}}
	cases := map[string]struct {
		// nodes counts those of both regions that spend.
		nodes int
		// known lists what each of them knows in each second.
		known []map[string]int
	}{
		"all known":       {nodes: 20, known: []map[string]int{{"poa": 12, "cwb": 8}}},
		"two join":        {nodes: 22, known: []map[string]int{{"poa": 12, "cwb": 8}, {"poa": 14, "cwb": 8}}},
		"cut for a while": {nodes: 20, known: []map[string]int{{"poa": 12, "cwb": 8}, {"poa": 12}, {"poa": 12}, {"poa": 12, "cwb": 8}}},
		"other region":    {nodes: 20, known: []map[string]int{{"poa": 12, "cwb": 8, "fln": 30}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			limits := make([]budget.Limiter, tc.nodes)
			systems := make([]budgets, tc.nodes)
			rate := budget.Rate{Messages: 1000, Bytes: 1 << 20}
			for i := range systems {
				systems[i] = budgets{common: common{Options: &Options{ServerBudget: &rate, LinkBudget: &rate}}, limits: &limits[i]}
			}
			now := time.Unix(0, 0)
			for _, known := range tc.known {
				var spent budget.Rate
				for range 20 {
					now = now.Add(50 * time.Millisecond)
					for i := range systems {
						systems[i].members = rosterOf(known)
						systems[i].tick(now, &config.Snapshot{Record: config.Record{Version: 1}, Document: document})
						for limits[i].Allow(budget.Control, 100, now, budget.Link("poa", "cwb")) {
							spent.Messages++
							spent.Bytes += 100
						}
					}
				}
				assert.Assert(t, spent.Messages <= int64(total.Messages), "%d messages", spent.Messages)
				assert.Assert(t, spent.Bytes <= int64(total.Bytes), "%d bytes", spent.Bytes)
				assert.Assert(t, spent.Messages > int64(total.Messages)/2, "%d messages", spent.Messages)
			}
		})
	}
}

// TestTotalIsTakenBack guards against a budget that stays in force after the
// configuration has dropped it.
func TestTotalIsTakenBack(t *testing.T) {
	own := budget.Rate{Messages: 20, Bytes: 1 << 10}
	var limits budget.Limiter
	b := budgets{common: common{Options: &Options{ServerBudget: &own, LinkBudget: &own}}, limits: &limits, members: rosterOf(map[string]int{"poa": 2})}
	named := config.LinkBudgets{"poa": {"cwb": {}}}
	for version, budgets := range []config.Budgets{{Links: named}, {}, {Total: config.Totals{Links: named}}, {}} {
		b.tick(time.Unix(int64(version), 0), &config.Snapshot{Record: config.Record{Version: config.Version(version + 1)}, Document: config.Document{Budgets: budgets}})
		want := own
		if version%2 == 0 {
			want = budget.Rate{}
		}
		assert.Equal(t, limits.Rate(budget.Link("poa", "cwb")), want)
	}
}

// TestServerTotalHoldsForAllNodes guards against a server that every node asks
// for its load within a budget of its own.
func TestServerTotalHoldsForAllNodes(t *testing.T) {
	own := budget.Rate{Messages: 20, Bytes: 1 << 10}
	var limits budget.Limiter
	b := budgets{common: common{Options: &Options{ID: "poa0", ServerBudget: &own, LinkBudget: &own}}, limits: &limits, members: fixedRoster(nil)}
	total := config.Budget{Messages: 30, Bytes: 1 << 20}
	now := time.Unix(0, 0)
	admitted := 0
	for range 19 {
		now = now.Add(50 * time.Millisecond)
		b.tick(now, &config.Snapshot{Record: config.Record{Version: 1}, Document: config.Document{Budgets: config.Budgets{Total: config.Totals{Server: &total}}}})
		for range 10 {
			if b.admit(now) {
				admitted++
			}
		}
	}
	assert.Equal(t, admitted, total.Messages)
}
