package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var entries = cmp.AllowUnexported(Entry{})

// model holds the expected state of each entry according to verdicts and returns.
type model struct {
	q               *Queue
	now             time.Time
	running, queued []Entry
	ended           []Entry
	slots           int
}

func (m *model) remove(t *rapid.T, from *[]Entry, e Entry) {
	i := slices.Index(*from, e)
	assert.Assert(t, i >= 0, "entry %v was returned in the wrong state", e)
	*from = slices.Delete(*from, i, i+1)
}

func (m *model) started(t *rapid.T, next []Entry) {
	for _, e := range next {
		m.remove(t, &m.queued, e)
		m.running = append(m.running, e)
	}
	if len(next) > 0 {
		m.checkSlots(t)
	}
}

func (m *model) checkSlots(t *rapid.T) {
	load := m.q.Load(m.now)
	assert.Assert(t, load.InFlight <= load.Slots, "started beyond the slots: %+v", load)
}

func (m *model) end(t *rapid.T, from *[]Entry, e Entry) {
	m.remove(t, from, e)
	m.ended = append(m.ended, e)
}

func (m *model) enter(t *rapid.T) {
	request := Request{
		Class:    rapid.SampledFrom([]string{"", "u", "b"}).Draw(t, "class"),
		Tenant:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"),
		Cost:     rapid.IntRange(0, 9).Draw(t, "cost"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 400).Draw(t, "deadline")) * time.Millisecond),
	}
	e, d := m.q.Enter(request, m.now)
	if d.Evicted.Valid() {
		m.end(t, &m.queued, d.Evicted)
	}
	switch d.Verdict {
	case Start:
		m.running = append(m.running, e)
		m.checkSlots(t)
	case Wait:
		m.queued = append(m.queued, e)
	}
}

func (m *model) burst(t *rapid.T) {
	for range 8 {
		m.enter(t)
	}
}

func (m *model) leave(t *rapid.T) {
	if len(m.running) > 0 {
		e := rapid.SampledFrom(m.running).Draw(t, "running")
		m.end(t, &m.running, e)
		m.started(t, m.q.Leave(e, m.now, nil))
	}
}

func (m *model) cancel(t *rapid.T) {
	for _, from := range []*[]Entry{&m.running, &m.queued} {
		if len(*from) > 0 {
			e := rapid.SampledFrom(*from).Draw(t, "canceled")
			m.end(t, from, e)
			m.started(t, m.q.Cancel(e, m.now, nil))
		}
	}
}

// late ends an entry that has already ended, which must change nothing.
func (m *model) late(t *rapid.T) {
	if len(m.ended) > 0 {
		e := rapid.SampledFrom(m.ended).Draw(t, "ended")
		m.q.Leave(e, m.now, nil)
		m.started(t, m.q.Cancel(e, m.now, nil))
	}
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(-20, 200).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) tick(t *rapid.T) {
	run, expired := m.q.Tick(m.now, nil, nil)
	m.started(t, run)
	for _, e := range expired {
		m.end(t, &m.queued, e)
	}
	load := m.q.Load(m.now)
	assert.Assert(t, load.Queued == 0 || load.InFlight >= load.Slots || load.Refusing, "idle slots beside a queue: %+v", load)
}

func (m *model) resize(t *rapid.T) {
	m.slots = rapid.IntRange(0, 5).Draw(t, "slots")
	m.q.SetSlots(m.slots)
}

func (m *model) check(t *rapid.T) {
	load := m.q.Load(m.now)
	assert.Equal(t, load.InFlight, len(m.running))
	assert.Assert(t, load.Queued <= len(m.queued) && len(m.queued) <= 6, "%+v, %d known", load, len(m.queued))
}

// Guards against wrong counts of requests in flight, entries that end twice or
// never, a late Leave or Cancel that ends another request, and a queue beyond its
// bound.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{q: &Queue{}, now: start}
		m.q.SetSlots(3)
		m.q.SetRules(Rules{Queue: 6, Ramp: 50 * time.Millisecond}.WithLevel("u", Urgent).WithLevel("b", Background).WithWeight("b", 3))
		t.Repeat(map[string]func(*rapid.T){
			"enter": m.enter, "burst": m.burst, "leave": m.leave, "cancel": m.cancel,
			"late": m.late, "tick": m.tick, "pass": m.advance, "resize": m.resize, "": m.check,
			"cold":  func(*rapid.T) { m.q.SlowStart(m.now) },
			"pause": func(*rapid.T) { m.q.Pause(30*time.Millisecond, m.now) },
		})
	})
}

// Guards against a tenant that gets more than its weight by sending large or many
// requests. While all tenants have requests queued, the work started for two of
// them, divided by weight, differs by at most one round and one request of each.
func TestTenantsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 9), 2, 5).Draw(t, "weights")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		q, rules := &Queue{}, Rules{Queue: 1 << 20}
		q.SetSlots(1)
		e, _ := q.Enter(Request{}, start)
		for tenant, weight := range weights {
			rules = rules.WithWeight(strconv.Itoa(tenant), weight)
		}
		q.SetRules(rules)
		enter := func(tenant int) {
			cost := 1 + rng.IntN(MaxCost)
			q.Enter(Request{Tenant: strconv.Itoa(tenant), Cost: cost, Waiter: [2]int{tenant, cost}}, start)
		}
		for tenant := range weights {
			enter(tenant)
			enter(tenant)
		}
		work := make([]float64, len(weights))
		for range 1000 {
			e = q.Leave(e, start, nil)[0]
			w := e.Waiter.([2]int)
			work[w[0]] += float64(w[1]) / float64(weights[w[0]])
			enter(w[0])
			for i := range work {
				limit := 1 + MaxCost/float64(weights[i]) + MaxCost/float64(weights[w[0]])
				assert.Assert(t, math.Abs(work[i]-work[w[0]]) <= limit, "work by weight %v", work)
			}
		}
	})
}
