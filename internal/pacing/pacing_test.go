package pacing

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func patternNamed(t *testing.T, name string) Pattern {
	p, ok := PatternNamed(name)
	assert.Assert(t, ok)
	return p
}

// Guards against results that depend on anything but the options.
func TestRunIsDeterministic(t *testing.T) {
	for _, policy := range Policies() {
		t.Run(policy, func(t *testing.T) {
			o := Options{Pattern: patternNamed(t, "knee"), Case: Burst, Policy: policy, Load: 1.25, Seed: 7, Length: 3 * time.Second}
			assert.DeepEqual(t, Run(o), Run(o))
		})
	}
}

// Guards against policies that are compared on different requests, and against
// requests that the emulator loses.
func TestPoliciesSeeTheSameRequests(t *testing.T) {
	for _, c := range Cases() {
		t.Run(string(c), func(t *testing.T) {
			want := 0
			for _, policy := range Policies() {
				r := Run(Options{Pattern: patternNamed(t, "flat"), Case: c, Policy: policy, Load: 1, Seed: 3, Length: 4 * time.Second})
				if want == 0 {
					want = r.Requests
				}
				assert.Equal(t, r.Requests, want, policy)
				assert.Assert(t, r.Credit > 0 && r.Credit <= 1 && r.Worst <= r.Credit+1e-9, "%+v", r)
			}
		})
	}
}

// Guards against emulated servers that ignore slow periods, cold starts or the knee.
func TestServersFollowThePattern(t *testing.T) {
	p := patternNamed(t, "knee")
	e := &emulator{Options: Options{Pattern: p}, messages: make(map[time.Duration][]message), servers: make([]server, 1), requests: []request{{work: 100 * time.Millisecond}}}
	for name, c := range map[string]struct {
		state server
		want  time.Duration
	}{
		"usual":            {server{}, 100 * time.Millisecond},
		"in a slow period": {server{slowUntil: time.Second}, 500 * time.Millisecond},
		"cold":             {server{cold: true}, 200 * time.Millisecond},
		"at the knee":      {server{running: 8}, 100 * time.Millisecond},
		"over the knee":    {server{running: 9}, 170 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			clear(e.messages)
			e.servers[0] = c.state
			e.start(0, 0)
			assert.Equal(t, len(e.messages[c.want]), 1, "%v", e.messages)
		})
	}
}

// Guards against patterns whose load per server changes with the number of servers.
func TestMoreServersGetAsMuchLoadEach(t *testing.T) {
	small := patternNamed(t, "knee")
	large := small.WithServers(70)
	assert.Equal(t, large.Kinds[0].Rate, 7*small.Kinds[0].Rate)
	assert.Assert(t, small.Kinds[0].Rate != large.Kinds[0].Rate, "the pattern itself has changed")
}

// Guards against output formats that omit a result.
func TestWrite(t *testing.T) {
	results := []Result{
		{Pattern: "knee", Case: Burst, Load: 1, Policy: "product", Credit: 0.987},
		{Pattern: "knee", Case: Burst, Load: 1.6, Policy: "product", Credit: 0.876},
	}
	for format, want := range map[string]string{"table": "0.987", "csv": ",0.987,", "json": `"credit": 0.876`, "svg": "knee, burst"} {
		t.Run(format, func(t *testing.T) {
			var out bytes.Buffer
			assert.NilError(t, Write(&out, format, results))
			assert.Assert(t, strings.Contains(out.String(), want), out.String())
		})
	}
	assert.ErrorContains(t, Write(&bytes.Buffer{}, "pdf", nil), "csv")
}

// Guards against placement, limits or refusals that earn less credit than the
// oracle by more than the stated share.
func TestCreditNearTheOracle(t *testing.T) {
	for name, c := range map[string]struct {
		pattern string
		servers int
		load    float64
		within  float64
	}{
		"knee, usual load":          {"knee", 10, 1, 0.02},
		"knee, a quarter more":      {"knee", 10, 1.25, 0.02},
		"knee, overload":            {"knee", 10, 1.6, 0.04},
		"flat, usual load":          {"flat", 8, 1, 0.02},
		"flat, a quarter more":      {"flat", 8, 1.25, 0.02},
		"flat, overload":            {"flat", 8, 1.6, 0.04},
		"knee, 85 servers":          {"knee", 85, 1.25, 0.02},
		"flat, 85 servers":          {"flat", 85, 1.25, 0.02},
		"knee, 300 servers":         {"knee", 300, 1, 0.02},
		"flat, 85, overload":        {"flat", 85, 1.6, 0.04},
		"knee, 85, overload":        {"knee", 85, 1.6, 0.04},
		"flat, 300, usual load":     {"flat", 300, 1, 0.02},
		"knee, 300, a quarter more": {"knee", 300, 1.25, 0.02},
		"long, usual load":          {"long", 6, 1, 0.02},
		"long, a quarter more":      {"long", 6, 1.25, 0.02},
		"long, overload":            {"long", 6, 1.6, 0.04},
		"long, 85 servers":          {"long", 85, 1.25, 0.02},
		"long, 85, overload":        {"long", 85, 1.6, 0.04},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := Options{Pattern: patternNamed(t, c.pattern).WithServers(min(c.servers, maxServers)), Case: Steady, Load: c.load, Seed: 1, Length: 4 * time.Second}
			o.Policy = "oracle"
			best := Run(o)
			o.Policy = "product"
			got := Run(o)
			assert.Assert(t, got.Credit >= best.Credit-c.within, "credit %.3f; the oracle earns %.3f", got.Credit, best.Credit)
		})
	}
}
