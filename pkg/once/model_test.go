package once

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const service = "orders"

// execution is one run of a key's request at a backend server.
type execution struct {
	send   int
	answer string
}

// activeAttempt is an attempt in progress at its owner.
type activeAttempt struct {
	send   int
	record Record
}

type message struct {
	to *process // nil for a table write
	// sent is the time from which the lifetime of a request counts. Other messages
	// may be delivered at any time.
	sent    time.Time
	request bool
	slow    bool
	deliver func()
}

// process is one incarnation of a node with its local state.
type process struct {
	*model
	ref     Ref
	records RecordStore
	row     Map
	version int
	paused  bool
	killed  bool
	// pausedMessages are the messages that arrived during a pause. They are
	// delivered when it ends.
	pausedMessages []func()
	suspects       map[Ref]bool
	// pending, ready and executed are the attempts that wait for their claim, may
	// run, and have run.
	pending, ready, executed []activeAttempt
	transfer                 *Transfer
}

// model is a cluster with one shard, its callers and the table. executions
// records which requests have actually run.
type model struct {
	*rapid.T
	// random is seeded by rapid. The draws of rapid itself are biased towards
	// small numbers and would make most actions rare.
	random    *rand.Rand
	now       time.Time
	processes []*process // including killed ones
	newest    []*process // the latest process of each node ID
	messages  []message
	row       Map
	version   int
	tableDown bool

	// faultPercent is the percentage of fault steps that take effect.
	faultPercent int
	// keys are in use by callers, each until the end of its window.
	keys          []string
	lastKey       int
	first         map[string]time.Time
	executions    map[string]execution
	sends         int
	executedSends map[int]bool
	refused       map[int]bool
	eventCounts   map[string]int
}

func (m *model) chance(percent int) bool { return m.random.IntN(100) < percent }

func pickRandom[T any](m *model, list []T) (one T, i int) {
	i = m.random.IntN(len(list))
	return list[i], i
}

func takeRandom[T any](m *model, list *[]T) (one T, ok bool) {
	if len(*list) == 0 {
		return one, false
	}
	one, i := pickRandom(m, *list)
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return one, true
}

func (m *model) start(id string, incarnation uint64) {
	p := &process{model: m, ref: Ref{ID: id, Incarnation: incarnation}, suspects: map[Ref]bool{}}
	p.records.Self, p.records.MaxRecords = p.ref, 24
	m.processes = append(m.processes, p)
	for i, old := range m.newest {
		if old.ref.ID == id {
			m.newest[i] = p
			return
		}
	}
	m.newest = append(m.newest, p)
}

func (m *model) enqueue(to *process, request bool, deliver func()) {
	m.messages = append(m.messages, message{to: to, sent: m.now, request: request, slow: m.chance(10), deliver: deliver})
}

func (m *model) find(r Ref) *process {
	for _, p := range m.processes {
		if p.ref == r {
			return p
		}
	}
	return nil
}

// newKey returns a new key of the shard with index 0.
func (m *model) newKey() string {
	for {
		m.lastKey++
		if key := fmt.Sprint("key", m.lastKey); ShardIndex(key) == 0 {
			return key
		}
	}
}

// send sends or resends a key as a caller through the given entry node.
func (m *model) send(entry *process) {
	if len(entry.row.Shards) == 0 {
		return
	}
	key, slot := pickRandom(m, m.keys)
	if first, sent := m.first[key]; sent && m.now.Sub(first) > Window || m.chance(10) {
		key = m.newKey()
		m.keys[slot] = key
	}
	if _, sent := m.first[key]; !sent {
		m.first[key] = m.now
	}
	m.sends++
	send, owner := m.sends, m.find(entry.row.Shards[0].Owner)
	m.enqueue(owner, true, func() { owner.begin(send, key) })
}

func (m *model) deliver() {
	msg, ok := takeRandom(m, &m.messages)
	if !ok || msg.to != nil && msg.to.killed || msg.request && m.now.Sub(msg.sent) > 30*time.Second {
		return
	}
	if msg.slow && !m.chance(2) {
		m.messages = append(m.messages, msg)
		return
	}
	if msg.to != nil && msg.to.paused {
		msg.to.pausedMessages = append(msg.to.pausedMessages, msg.deliver)
		return
	}
	if !msg.request && m.chance(10) {
		msg.slow = m.chance(50)
		m.messages = append(m.messages, msg) // deliver a duplicate later
	}
	if !m.chance(5) {
		msg.deliver()
	}
}

func (m *model) advance() {
	d, _ := pickRandom(m, []time.Duration{time.Second, 20 * time.Second, 5 * time.Minute, 12 * time.Minute})
	for step := min(d, maxClockStep); d > 0; d -= step {
		m.now = m.now.Add(step)
		for _, p := range m.processes {
			if !p.paused && !p.killed {
				p.records.Tick(m.now)
			}
		}
	}
}

func (m *model) injectFault(p *process) {
	switch m.random.IntN(6) {
	case 0:
		m.tableDown = !m.tableDown && m.chance(50)
	case 1:
		p.killed = true
	case 2, 3:
		p.pause()
	default:
		other, _ := pickRandom(m, m.newest)
		cut := !p.suspects[other.ref] && other != p && m.chance(50)
		p.suspects[other.ref] = cut
		if m.chance(70) {
			other.suspects[p.ref] = cut
		}
	}
}

func (p *process) pause() {
	if !p.paused {
		p.paused = p.chance(50)
		return
	}
	p.paused = false
	for _, deliver := range p.pausedMessages {
		deliver()
	}
	p.pausedMessages = nil
}

// step performs one random action: of a process, a message, a fault or the clock.
func (m *model) step() {
	p, _ := pickRandom(m, m.newest)
	if p.killed {
		if m.chance(5) {
			m.start(p.ref.ID, p.ref.Incarnation+1)
		}
		return
	}
	for range len(m.messages) / 6 {
		m.deliver()
	}
	action := m.random.IntN(100)
	if p.paused && action < 60 {
		action = 99 // a paused process takes no action of its own
	}
	switch {
	case action < 16:
		m.send(p)
	case action < 23:
		m.eachRunning((*process).execute)
	case action < 30:
		m.eachRunning((*process).finish)
	case action < 32:
		p.refresh()
	case action < 42:
		m.eachRunning((*process).repair)
	case action < 58:
		m.eachRunning((*process).sendChunk)
	case action < 60:
		if w, ok := takeRandom(m, &p.pending); ok {
			p.release(w) // the reply to the claim timed out
		}
	case action < 64:
		if m.chance(m.faultPercent) {
			m.injectFault(p)
		}
	case action < 65:
		if m.chance(40) {
			m.advance()
		}
	default:
		m.deliver()
	}
}

// eachRunning calls do for every process that is neither paused nor killed.
func (m *model) eachRunning(do func(*process)) {
	for _, p := range m.newest {
		if !p.paused && !p.killed {
			do(p)
		}
	}
}

// TestModel guards against a request that runs twice, a "not run" refusal of a
// request that has run or may still run, and two different answers for one key.
// It simulates lost, late and duplicated messages, pauses, restarts and an
// unreliable table. With this seed, the test fails if any one of the protection
// mechanisms is removed. Use -rapid.seed and -rapid.checks for other and longer
// runs.
func TestModel(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "2", "rapid.checks": "200"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			assert.NilError(t, f.Value.Set(value))
		}
	}
	eventCounts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.SliceOfN(rapid.Uint64(), 2, 2).Draw(t, "seed")
		m := &model{
			T: t, random: rand.New(rand.NewPCG(seed[0], seed[1])), now: time.Now(), first: map[string]time.Time{}, executions: map[string]execution{},
			executedSends: map[int]bool{}, refused: map[int]bool{}, eventCounts: eventCounts,
		}
		for _, id := range []string{"a1", "a2", "b1", "c1"} {
			m.start(id, 1)
		}
		m.row = Assign(service, m.processes[0].Members())
		m.keys = []string{m.newKey(), m.newKey(), m.newKey(), m.newKey(), m.newKey()}
		m.faultPercent = []int{10, 30, 60}[m.random.IntN(3)]
		for range 3000 {
			m.step()
		}
	})
	t.Log(eventCounts)
	for _, event := range []string{"run", "write loss=false", "write loss=true", fmt.Sprint("verdict ", VerdictFinished), fmt.Sprint("verdict ", VerdictUnknown)} {
		assert.Assert(t, eventCounts[event] > 100, "the model reaches %q %d times, too few to test it", event, eventCounts[event])
	}
}
