package experiment

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The bounds are the goals of section 4 of docs/design.md. Cases that miss a goal
// with one of the seeds 1 to 3 are listed below. The tests whose names end in Missed
// run them, and KNOWN-RED.txt lists these tests.
const (
	goalOracle       = 1.15
	goalTwoChoices   = 0.5
	goalLeastReports = 0.1
	goalHalfBudget   = 1.1
	goalNodeBytes    = 1000
	goalExtraLoad    = 0.02
)

var (
	missedOracle = set("union/slow-250ms/0.7", "union/slow-250ms/0.85")
	// closeOracle holds cases that meet the goal by a small margin. They run with all
	// seeds.
	closeOracle        = set("geada/domain-lost/0.85", "union/slow-250ms/0.5")
	missedLeastReports = set("geada/burst/0.85", "geada/domain-lost/0.85", "union/burst/0.85", "union/domain-lost/0.85")
	missedHedge        = set("geada/burst/0.5", "geada/lying/0.5", "geada/slow-250ms/0.5", "geada/ten-times/0.5",
		"union/burst/0.5", "union/lying/0.5", "union/slow-250ms/0.5",
		"geada/burst/0.7", "geada/domain-lost/0.7", "geada/lying/0.7", "geada/slow-2s/0.7", "geada/ten-times/0.7",
		"union/burst/0.7", "union/lying/0.7", "union/slow-250ms/0.7", "union/slow-2s/0.7", "union/ten-times/0.7",
		"geada/burst/0.85", "geada/domain-lost/0.85", "geada/lying/0.85", "geada/slow-250ms/0.85",
		"geada/slow-2s/0.85", "geada/ten-times/0.85", "union/burst/0.85", "union/crash/0.85",
		"union/domain-lost/0.85", "union/fail-fast/0.85", "union/lying/0.85", "union/slow-250ms/0.85",
		"union/slow-2s/0.85", "union/ten-times/0.85")
	missedHalfBudget = set("geada/domain-lost/0.85")
)

func set(list ...string) map[string]bool {
	m := map[string]bool{}
	for _, n := range list {
		m[n] = true
	}
	return m
}

// runs caches the results, because several goals compare with the same oracle run.
var runs sync.Map

func cachedRun(o Options) Result {
	key := fmt.Sprint(o.Deployment.Name, o.Case.Name, o.Load, o.Policy, o.Seed, o.Hedge, o.Budget, o.Length)
	once, _ := runs.LoadOrStore(key, sync.OnceValue(func() Result { return Run(o) }))
	return once.(func() Result)()
}

// eachCase runs check in parallel for each combination of deployment, case and load
// that is in the set missed, or if in is false, for each that is not.
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

// length returns the measured time. It is shorter for the cases that are not in the
// lists above, so that all of them take less than a minute with the race detector.
// The second server of slow-2s becomes slow after 3 s only.
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

func (o Options) withPolicy(policy string) Options {
	o.Policy = policy
	return o
}

func atMost(t *testing.T, o Options, got, limit float64) {
	t.Helper()
	assert.Check(t, got <= limit, "seed %d: %.3f is above %.3f", o.Seed, got, limit)
}

func checkOracle(t *testing.T, o Options) {
	t.Helper()
	r := cachedRun(o)
	atMost(t, o, r.P99/cachedRun(o.withPolicy("oracle")).P99, goalOracle)
	atMost(t, o, r.Node, goalNodeBytes)
}

func checkLeastReports(t *testing.T, o Options) {
	t.Helper()
	atMost(t, o, cachedRun(o).P99/cachedRun(o.withPolicy("least-reports")).P99, goalLeastReports)
}

func checkHedge(t *testing.T, o Options) {
	t.Helper()
	limit := cachedRun(o.withPolicy("oracle")).Lookup
	o.Hedge = true
	r := cachedRun(o)
	atMost(t, o, r.Lookup/limit, 1)
	atMost(t, o, r.Extra, goalExtraLoad)
}

func checkHalfBudget(t *testing.T, o Options) {
	t.Helper()
	fullBudget := cachedRun(o).P99
	o.Budget = regionBudget / 2
	atMost(t, o, cachedRun(o).P99/fullBudget, goalHalfBudget)
}

// Guards against a p99 too far above the oracle's, and against nodes that send more
// than 1 KB/s of measuring traffic over links between regions.
func TestGoalOracle(t *testing.T) {
	eachCase(t, []float64{0.85}, missedOracle, false, checkOracle)
}

// Guards against the same at a lower load, for the cases that miss or nearly miss the
// goal at 0.85. The others have a wider margin there and are left out to save time.
func TestGoalOracleLowerLoad(t *testing.T) {
	eachCase(t, []float64{0.7}, missedOracle, false, func(t *testing.T, o Options) {
		t.Helper()
		name := o.Deployment.Name + "/" + o.Case.Name + "/0.85"
		if o.Case.Name == "slow-2s" || missedOracle[name] || closeOracle[name] {
			checkOracle(t, o)
		}
	})
}

// Guards against the same in the cases that meet the goal by a small margin.
func TestGoalOracleClose(t *testing.T) {
	eachCase(t, []float64{0.5, 0.7, 0.85}, closeOracle, true, checkOracle)
}

func TestGoalOracleMissed(t *testing.T) {
	eachCase(t, []float64{0.5, 0.7, 0.85}, missedOracle, true, checkOracle)
}

// Guards against a p99 with slow servers that is not well below that of two random
// choices compared by the entry node's own requests in flight.
func TestGoalTwoChoices(t *testing.T) {
	for name, d := range map[string]Deployment{"geada": GeadaSul(), "union": Union()} {
		for _, c := range []string{"slow-250ms", "ten-times"} {
			t.Run(name+"/"+c, func(t *testing.T) {
				t.Parallel()
				o := Options{Deployment: d, Case: CaseNamed(c), Load: 0.85, Policy: "routing", Seed: 1, Length: length(CaseNamed(c), false)}
				atMost(t, o, cachedRun(o).P99/cachedRun(o.withPolicy("two-choices")).P99, goalTwoChoices)
			})
		}
	}
}

// Guards against herding: entry nodes that place by periodic reports all send their
// requests to the same server after each report.
func TestGoalLeastReports(t *testing.T) {
	eachCase(t, []float64{0.85}, missedLeastReports, false, checkLeastReports)
}

func TestGoalLeastReportsMissed(t *testing.T) {
	eachCase(t, []float64{0.85}, missedLeastReports, true, checkLeastReports)
}

// Guards against a tail latency of idempotent requests that hedging does not reduce,
// and against more hedged requests than the budget permits.
func TestGoalHedge(t *testing.T) {
	eachCase(t, []float64{0.7, 0.85}, missedHedge, false, checkHedge)
}

func TestGoalHedgeMissed(t *testing.T) {
	eachCase(t, []float64{0.5, 0.7, 0.85}, missedHedge, true, checkHedge)
}

// Guards against placement that needs the whole measuring budget. Cases that send few
// requests to other regions cannot show this and are left out to save time. The cases
// that miss the goal with another seed meet it with the seed of this test.
func TestGoalHalfBudget(t *testing.T) {
	local := set("steady", "slow-5ms", "region-cut", "crash", "fail-fast")
	eachCase(t, []float64{0.85}, set(), false, func(t *testing.T, o Options) {
		t.Helper()
		if !local[o.Case.Name] {
			checkHalfBudget(t, o)
		}
	})
}

func TestGoalHalfBudgetMissed(t *testing.T) {
	eachCase(t, []float64{0.85}, missedHalfBudget, true, checkHalfBudget)
}
