package experiment

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The bounds in this file are the goals of section 4 of the design page, not
// measured figures. Cases that miss a goal with one of the seeds 1 to 3 are
// named below; the tests whose names end in Missed run them, and KNOWN-RED.txt
// lists these tests.
const (
	goalOracle = 1.15
	goalTwo    = 0.5
	goalLeast  = 0.1
	goalHalf   = 1.1
	goalNode   = 1000
	goalExtra  = 0.02
)

var (
	missedOracle = names("union/slow-250ms/0.7", "union/slow-250ms/0.85")
	// closeOracle holds cases close to the goal; they run with all seeds.
	closeOracle = names("geada/domain-lost/0.85", "union/slow-250ms/0.5")
	missedLeast = names("geada/burst/0.85", "geada/domain-lost/0.85", "union/burst/0.85", "union/domain-lost/0.85")
	missedHedge = names("geada/burst/0.5", "geada/lying/0.5", "geada/slow-250ms/0.5", "geada/ten-times/0.5",
		"union/burst/0.5", "union/lying/0.5", "union/slow-250ms/0.5",
		"geada/burst/0.7", "geada/domain-lost/0.7", "geada/lying/0.7", "geada/slow-2s/0.7", "geada/ten-times/0.7",
		"union/burst/0.7", "union/lying/0.7", "union/slow-250ms/0.7", "union/slow-2s/0.7", "union/ten-times/0.7",
		"geada/burst/0.85", "geada/domain-lost/0.85", "geada/lying/0.85", "geada/slow-250ms/0.85",
		"geada/slow-2s/0.85", "geada/ten-times/0.85", "union/burst/0.85", "union/crash/0.85",
		"union/domain-lost/0.85", "union/fail-fast/0.85", "union/lying/0.85", "union/slow-250ms/0.85",
		"union/slow-2s/0.85", "union/ten-times/0.85")
	missedHalf = names("geada/domain-lost/0.85")
)

func names(list ...string) map[string]bool {
	m := map[string]bool{}
	for _, n := range list {
		m[n] = true
	}
	return m
}

// runs shares runs between the tests: several goals use the same oracle.
var runs sync.Map

func goalRun(o Options) Result {
	key := fmt.Sprint(o.Deployment.Name, o.Case.Name, o.Load, o.Policy, o.Seed, o.Hedge, o.Budget, o.Length)
	once, _ := runs.LoadOrStore(key, sync.OnceValue(func() Result { return Run(o) }))
	return once.(func() Result)()
}

// eachCase runs check in parallel for the cases at the loads that are in the
// set of missed ones, or for those that are not.
func eachCase(t *testing.T, loads []float64, missed map[string]bool, in bool, check func(t *testing.T, o Options)) {
	for _, d := range []Deployment{GeadaSul(), Union()} {
		for _, c := range Cases() {
			for _, load := range loads {
				name := fmt.Sprintf("%s/%s/%v", d.Name, c.Name, load)
				if missed[name] != in {
					continue
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					for seed := uint64(1); seed == 1 || (in || c.Name == "slow-2s") && seed <= 3; seed++ {
						check(t, Options{Deployment: d, Case: c, Load: load, Policy: "routing", Seed: seed, Length: length(c, in)})
					}
				})
			}
		}
	}
}

// length is shorter for the cases that are checked on every run, so that all
// of them fit into a minute with the race detector. The second slow server of
// slow-2s comes after 3 s only.
func length(c Case, missed bool) time.Duration {
	switch {
	case c.Name == "slow-2s":
		return 5 * time.Second
	case !missed, c.Name == "crash":
		return 2500 * time.Millisecond
	case c.Name == "domain-lost":
		return 5 * time.Second
	default:
		return 3 * time.Second
	}
}

func (o Options) with(policy string) Options {
	o.Policy = policy
	return o
}

func atMost(t *testing.T, o Options, got, limit float64) {
	t.Helper()
	assert.Check(t, got <= limit, "seed %d: %.3f is above %.3f", o.Seed, got, limit)
}

func checkOracle(t *testing.T, o Options) {
	t.Helper()
	r := goalRun(o)
	atMost(t, o, r.P99/goalRun(o.with("oracle")).P99, goalOracle)
	atMost(t, o, r.Node, goalNode)
}

func checkLeast(t *testing.T, o Options) {
	t.Helper()
	atMost(t, o, goalRun(o).P99/goalRun(o.with("least-reports")).P99, goalLeast)
}

func checkHedge(t *testing.T, o Options) {
	t.Helper()
	limit := goalRun(o.with("oracle")).Lookup
	o.Hedge = true
	r := goalRun(o)
	atMost(t, o, r.Lookup/limit, 1)
	atMost(t, o, r.Extra, goalExtra)
}

func checkHalf(t *testing.T, o Options) {
	t.Helper()
	whole := goalRun(o).P99
	o.Budget = regionBudget / 2
	atMost(t, o, goalRun(o).P99/whole, goalHalf)
}

// Guards against a p99 that drifts away from the oracle's, and against
// measuring over region links beyond 1 KB/s a node.
func TestGoalOracle(t *testing.T) {
	eachCase(t, []float64{0.85}, missedOracle, false, checkOracle)
}

// Guards at a lower load against the same in the cases that miss the goal at
// 0.85; the other cases are easier there and are left out to save time.
func TestGoalOracleLowerLoad(t *testing.T) {
	eachCase(t, []float64{0.7}, missedOracle, false, func(t *testing.T, o Options) {
		t.Helper()
		name := o.Deployment.Name + "/" + o.Case.Name + "/0.85"
		if o.Case.Name == "slow-2s" || missedOracle[name] || closeOracle[name] {
			checkOracle(t, o)
		}
	})
}

// Guards against the same in the cases that are close to the goal.
func TestGoalOracleClose(t *testing.T) {
	eachCase(t, []float64{0.5, 0.7, 0.85}, closeOracle, true, checkOracle)
}

func TestGoalOracleMissed(t *testing.T) {
	eachCase(t, []float64{0.5, 0.7, 0.85}, missedOracle, true, checkOracle)
}

// Guards against losing the advantage over two choices on local counts where
// servers are slow.
func TestGoalTwoChoices(t *testing.T) {
	for name, d := range map[string]Deployment{"geada": GeadaSul(), "union": Union()} {
		for _, c := range []string{"slow-250ms", "ten-times"} {
			t.Run(name+"/"+c, func(t *testing.T) {
				t.Parallel()
				o := Options{Deployment: d, Case: CaseNamed(c), Load: 0.85, Policy: "routing", Seed: 1, Length: length(CaseNamed(c), false)}
				atMost(t, o, goalRun(o).P99/goalRun(o.with("two-choices")).P99, goalTwo)
			})
		}
	}
}

// Guards against herds after each report, which the use of reports brings.
func TestGoalLeastReports(t *testing.T) {
	eachCase(t, []float64{0.85}, missedLeast, false, checkLeast)
}

func TestGoalLeastReportsMissed(t *testing.T) {
	eachCase(t, []float64{0.85}, missedLeast, true, checkLeast)
}

// Guards against a tail of idempotent requests that hedging does not cut, and
// against hedging beyond its budget.
func TestGoalHedge(t *testing.T) {
	eachCase(t, []float64{0.7, 0.85}, missedHedge, false, checkHedge)
}

func TestGoalHedgeMissed(t *testing.T) {
	eachCase(t, []float64{0.5, 0.7, 0.85}, missedHedge, true, checkHedge)
}

// Guards against placement that depends on a large measuring budget. Cases
// without much spill-over cannot show it and are left out to save time. The
// missed ones hold with the seed of this test.
func TestGoalHalfBudget(t *testing.T) {
	local := names("steady", "slow-5ms", "region-cut", "crash", "fail-fast")
	eachCase(t, []float64{0.85}, names(), false, func(t *testing.T, o Options) {
		t.Helper()
		if !local[o.Case.Name] {
			checkHalf(t, o)
		}
	})
}

func TestGoalHalfBudgetMissed(t *testing.T) {
	eachCase(t, []float64{0.85}, missedHalf, true, checkHalf)
}
