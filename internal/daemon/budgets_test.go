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

// fixedMembers is the list of members that one node knows.
type fixedMembers []member.Member

func (r fixedMembers) Members() []member.Member { return r }

func membersOf(nodes map[string]int) (r fixedMembers) {
	for region, n := range nodes {
		for i := range n {
			r = append(r, member.Member{Ref: member.Ref{ID: fmt.Sprint(region, i)}, Region: region})
		}
	}
	return r
}

// TestNodesShareTheTotal guards against a link whose measuring traffic is the budget
// times the number of nodes, also while nodes join, are declared dead by mistake or do
// not know each other yet.
func TestNodesShareTheTotal(t *testing.T) {
	total := config.Budget{Messages: 300, Bytes: 30000}
	document := config.Document{Budgets: config.Budgets{Total: config.Totals{
		Links: config.LinkBudgets{"poa": {"cwb": total}},
	}}}
	cases := map[string]struct {
		// nodes is the number of nodes of both regions that send.
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
						systems[i].members = membersOf(known)
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

// TestRemovedBudgetsAreReset guards against a budget that stays in force after it was
// removed from the configuration.
func TestRemovedBudgetsAreReset(t *testing.T) {
	rate := budget.Rate{Messages: 20, Bytes: 1 << 10}
	var limits budget.Limiter
	b := budgets{common: common{Options: &Options{ServerBudget: &rate, LinkBudget: &rate}}, limits: &limits, members: membersOf(map[string]int{"poa": 2})}
	named := config.LinkBudgets{"poa": {"cwb": {}}}
	for version, budgets := range []config.Budgets{{Links: named}, {}, {Total: config.Totals{Links: named}}, {}} {
		b.tick(time.Unix(int64(version), 0), &config.Snapshot{Record: config.Record{Version: config.Version(version + 1)}, Document: config.Document{Budgets: budgets}})
		want := rate
		if version%2 == 0 {
			want = budget.Rate{}
		}
		assert.Equal(t, limits.Rate(budget.Link("poa", "cwb")), want)
	}
}

// TestServerTotalHoldsForAllNodes guards against a budget of a server that applies to
// each node separately, so that the server's load is requested too often.
func TestServerTotalHoldsForAllNodes(t *testing.T) {
	rate := budget.Rate{Messages: 20, Bytes: 1 << 10}
	var limits budget.Limiter
	b := budgets{common: common{Options: &Options{ID: "poa0", ServerBudget: &rate, LinkBudget: &rate}}, limits: &limits, members: fixedMembers(nil)}
	total := config.Budget{Messages: 30, Bytes: 1 << 20}
	now := time.Unix(0, 0)
	admitted := 0
	for range 19 {
		now = now.Add(50 * time.Millisecond)
		b.tick(now, &config.Snapshot{Record: config.Record{Version: 1}, Document: config.Document{Budgets: config.Budgets{Total: config.Totals{Server: &total}}}})
		for range 10 {
			if b.admitLoadReport(now) {
				admitted++
			}
		}
	}
	assert.Equal(t, admitted, total.Messages)
}
