package retry

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

func newAttempts(retries uint8) *Attempts {
	t := &Attempts{}
	t.Start(Allowance{Retries: retries, Deadline: start.Add(time.Hour)})
	return t
}

// Guards against a second execution of a request that is not idempotent (P4), and
// against retries of errors that every server would return.
func TestWhichCausesAreRetried(t *testing.T) {
	for name, c := range map[string]struct {
		err              *fault.Error
		idempotent, want bool
	}{
		"idempotent and lost":                 {fault.New(fault.KindUnreachable, ""), true, true},
		"not idempotent and lost":             {fault.New(fault.KindUnreachable, ""), false, false},
		"not idempotent and cut short":        {fault.New(fault.KindCutShort, ""), false, false},
		"not idempotent and not sent":         {fault.New(fault.KindUnreachable, "").WithOutcome(fault.Refused), false, true},
		"not idempotent and refused":          {fault.New(fault.KindOverloaded, ""), false, true},
		"refusal that may have run":           {fault.New(fault.KindOverloaded, "").WithOutcome(fault.Unknown), false, false},
		"drain after it was sent":             {fault.New(fault.KindDraining, "").WithOutcome(fault.Unknown), false, false},
		"quarantined":                         {fault.New(fault.KindQuarantined, ""), true, false},
		"deadline":                            {fault.New(fault.KindDeadline, ""), true, false},
		"internal error of the load balancer": {fault.New(fault.KindInternal, ""), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			var b Budget
			_, ok := b.Spend(Allowance{Retries: 1}, c.idempotent, CauseOf(c.err), start)
			assert.Equal(t, ok, c.want)
			_, ok = b.Spend(Allowance{}, c.idempotent, CauseOf(c.err), start)
			assert.Assert(t, !ok, "retried without an allowance")
			_, ok = b.Spend(Allowance{Retries: 1, Deadline: start}, c.idempotent, CauseOf(c.err), start)
			assert.Assert(t, !ok, "retried after the deadline")
		})
	}
}

// Guards against a request that is refused because several nodes leave at once, and
// against handovers without bound, to a server that had an attempt, or of a request
// that may have run.
func TestHandovers(t *testing.T) {
	leaving := slices.Repeat([]Cause{Leaving}, MaxAttempts+MaxLeaving)
	for name, c := range map[string]struct {
		causes    []Cause
		retries   uint8
		permitted int
		unsafe    bool
	}{
		"leaving costs nothing and is bounded":       {leaving, 0, MaxAttempts + MaxLeaving - 1, true},
		"overloaded costs one, once":                 {[]Cause{Overloaded, Overloaded}, 2, 1, true},
		"overloaded without retries":                 {[]Cause{Overloaded}, 0, 0, true},
		"overloaded after leaving, once":             {[]Cause{Leaving, Overloaded, Leaving, Overloaded}, 2, 3, true},
		"overloaded after leaving, without retries":  {[]Cause{Leaving, Overloaded}, 0, 1, true},
		"a retry after a handover":                   {[]Cause{Leaving, Failed}, 2, 2, false},
		"lost after a handover":                      {[]Cause{Leaving, Leaving, Lost}, 2, 2, true},
		"leaving does not permit more other retries": {append(leaving[:MaxLeaving:MaxLeaving], Failed, Failed, Failed, Failed), 9, MaxLeaving + MaxAttempts - 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			var b Budget
			attempts := newAttempts(c.retries)
			for i, cause := range c.causes {
				server := string(rune('a' + i))
				forwarded, ok := attempts.Send(server)
				assert.Assert(t, ok)
				attempts.Answer(server, forwarded.Retries)
				permitted := attempts.Retry(&b, !c.unsafe, cause, start)
				assert.Equal(t, permitted, i < c.permitted, "after attempt %d", i+1)
				_, ok = attempts.Send(server)
				assert.Assert(t, !ok, "sent to the same server")
				if !permitted {
					_, ok = attempts.Send("another")
					assert.Assert(t, !ok, "sent without permission")
					return
				}
			}
		})
	}
	attempts := newAttempts(0)
	_, _ = attempts.Send("a")
	assert.Assert(t, !attempts.Retry(&Budget{}, true, Leaving, start.Add(time.Hour)), "handed over after the deadline")
}

// Guards against a retry at the server that failed, and against an answer that
// returns more retries than were forwarded.
func TestRetryUsesAnotherServer(t *testing.T) {
	var b Budget
	attempts := newAttempts(2)
	forwarded, ok := attempts.Send("a")
	assert.Assert(t, ok && forwarded.Retries == 1 && forwarded.Hop == 1)
	attempts.Answer("a", 200)
	attempts.Answer("a", 200)
	assert.Equal(t, attempts.Left().Retries, uint8(2))
	_, ok = attempts.Send("b")
	assert.Assert(t, !ok, "sent without permission")
	assert.Assert(t, attempts.Retry(&b, true, Failed, start))
	_, ok = attempts.Send("a")
	assert.Assert(t, !ok, "sent to the same server")
	_, ok = attempts.Send("b")
	assert.Assert(t, ok)
}

// Guards against a saved budget that is spent in one burst much later.
func TestUnusedTokensExpire(t *testing.T) {
	var b Budget
	for range 1000 {
		b.Put("stock", DefaultRatio, b.Grant("stock", DefaultRatio, time.Time{}, start))
	}
	assert.Equal(t, b.Grant("stock", DefaultRatio, time.Time{}, start.Add(tokenLifetime)).Retries, uint8(maxGrant))
	assert.Equal(t, b.Grant("stock", DefaultRatio, time.Time{}, start.Add(3*tokenLifetime)).Retries, uint8(0))
}

// Guards against hedges that add more than 2 % load, start before the p95, or
// duplicate a request that is not idempotent.
func TestHedgesStayWithinTwoPercent(t *testing.T) {
	var h Hedger
	rule := HedgeRule{DefaultHedgeRatio, DefaultHedgeAfter}
	late := HedgeCall{Service: "stock", Idempotent: true, Suspect: true}
	hedges := 0
	for i := range 10_000 {
		delays, ok := h.Delays("stock", "lookup", rule)
		assert.Equal(t, ok, i >= minSamples && delays[0] > 0)
		assert.Assert(t, !ok || delays[0] > 9*time.Millisecond && delays[0] < 11*time.Millisecond, "%v", delays)
		h.Observe("stock", "lookup", map[bool]time.Duration{true: time.Second, false: 10 * time.Millisecond}[i%25 == 24])
		attempts := newAttempts(2)
		attempts.Send("a")
		assert.Assert(t, !attempts.Hedge(&h, HedgeCall{Service: "stock", Suspect: true}, start))
		if attempts.Hedge(&h, late, start) {
			hedges++
		}
	}
	assert.Assert(t, hedges <= 200 && hedges > 190, "%d hedges", hedges)
}

// Guards against a budget that requests to other servers use up before requests to
// suspect servers, and against an early hedge if the server is not suspect.
func TestHedgesToSuspectServersFirst(t *testing.T) {
	var h Hedger
	for range 10_000 {
		h.Delays("stock", "lookup", HedgeRule{DefaultHedgeRatio, DefaultHedgeAfter})
	}
	spend := func(c HedgeCall) (n int) {
		for c.Service, c.Idempotent = "stock", true; ; n++ {
			attempts := newAttempts(2)
			attempts.Send("a")
			if !attempts.Hedge(&h, c, start) {
				return n
			}
		}
	}
	assert.Equal(t, spend(HedgeCall{}), 0)
	assert.Equal(t, spend(HedgeCall{DelayIndex: 1}), hedgeBurst-hedgeReserve)
	assert.Equal(t, spend(HedgeCall{Suspect: true}), hedgeReserve)
}

// Guards against a budget that is held by calls which do not fail, so that the few
// failing calls have no retry.
func TestMostFailedCallsHaveARetry(t *testing.T) {
	var b Budget
	failed, retried := 0, 0
	var inFlight []Allowance
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * 8 * time.Millisecond)
		inFlight = append(inFlight, b.Grant("stock", DefaultRatio, start.Add(time.Hour), now))
		if len(inFlight) <= 20 {
			continue
		}
		a := inFlight[0]
		inFlight = inFlight[1:]
		if i%20 == 0 {
			failed++
			if left, ok := b.Spend(a, true, Failed, now); ok {
				a, retried = left, retried+1
			}
		}
		b.Put("stock", DefaultRatio, a)
	}
	assert.Assert(t, retried*100 >= failed*95, "%d of %d retried", retried, failed)
}

// Guards against data races that create retries.
func TestConcurrentUseConservesRetries(t *testing.T) {
	var b Budget
	var pool AllowancePool
	var h Hedger
	pool.Add("id", Allowance{Retries: 5})
	attempts := newAttempts(100)
	var group sync.WaitGroup
	for caller := range 50 {
		group.Go(func() {
			b.Put("stock", DefaultRatio, b.Grant("stock", DefaultRatio, start, start))
			a, _ := pool.Borrow("id")
			pool.Return("id", a)
			h.Delays("stock", "lookup", HedgeRule{DefaultHedgeRatio, DefaultHedgeAfter})
			h.Observe("stock", "lookup", time.Millisecond)
			if attempts.Retry(&b, true, Failed, start) {
				attempts.Send(string(rune('a' + caller)))
			}
			attempts.Hedge(&h, HedgeCall{Service: "stock", Idempotent: true, Suspect: true}, start)
		})
	}
	group.Wait()
	assert.Equal(t, pool.Remove("id"), uint8(5))
	assert.Equal(t, b.Grant("stock", DefaultRatio, start, start).Retries, uint8(maxGrant))
	assert.Assert(t, len(attempts.Tried(nil)) <= MaxAttempts)
}

// Guards against two running requests with one ID that create retries or shorten
// each other's deadline.
func TestAllowancePoolSharesOneID(t *testing.T) {
	var pool AllowancePool
	pool.Add("id", Allowance{Retries: 1, Hop: 2, Deadline: start})
	pool.Add("id", Allowance{Retries: 2, Hop: 1, Deadline: start.Add(time.Second)})
	a, ok := pool.Borrow("id")
	assert.Assert(t, ok)
	assert.DeepEqual(t, a, Allowance{Retries: 2, Hop: 2, Deadline: start.Add(time.Second)})
	pool.Return("id", a.WithRetries(1))
	assert.Equal(t, pool.Remove("id"), uint8(0))
	assert.Equal(t, pool.Remove("id"), uint8(2))
	_, ok = pool.Borrow("id")
	assert.Assert(t, !ok)
}
