package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// enter fails the test if the verdict differs from want.
func enter(t *testing.T, q *Queue, request Request, now time.Time, want Verdict) Entry {
	t.Helper()
	e, d := q.Enter(request, now)
	assert.Equal(t, d.Verdict, want, "%+v", d)
	return e
}

// busyQueue returns a queue with n slots, all taken, and a service time of 10 ms.
func busyQueue(t *testing.T, n int, rules Rules) (*Queue, []Entry) {
	q := &Queue{}
	q.SetSlots(n)
	q.SetRules(rules)
	q.Leave(enter(t, q, Request{}, start.Add(-10*time.Millisecond), Start), start, nil)
	var running []Entry
	for range n {
		running = append(running, enter(t, q, Request{}, start, Start))
	}
	return q, running
}

// Guards against a noisy tenant or a lower class that takes the slots of others, and
// against weights that do not affect the order of starts.
func TestStartOrder(t *testing.T) {
	for name, c := range map[string]struct {
		rules Rules
		enter string // lower case: a Normal request of the tenant; upper case: an Urgent one
		want  string
	}{
		"one tenant is first in first out": {Rules{}, "aaa", "aaa"},
		"tenants alternate":                {Rules{}, "aaaaaabbc", "abcabaaaa"},
		"weight two gets two turns":        {Rules{}.WithWeight("b", 2), "aaabbb", "abbaba"},
		"urgent goes first":                {Rules{}.WithLevel("u", Urgent), "aabBA", "BAaba"},
	} {
		t.Run(name, func(t *testing.T) {
			q, running := busyQueue(t, 1, c.rules)
			for _, r := range c.enter {
				request := Request{Tenant: string(r | 0x20), Waiter: string(r)}
				if r < 'a' {
					request.Class = "u"
				}
				enter(t, q, request, start, Wait)
			}
			got := ""
			for e := running[0]; ; {
				next := q.Leave(e, after(10*time.Millisecond), nil)
				if len(next) == 0 {
					break
				}
				e = next[0]
				got += e.Waiter.(string)
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against a full queue in which one tenant or a background class blocks the
// others.
func TestFullQueueMakesRoom(t *testing.T) {
	for name, c := range map[string]struct {
		queued, arriving Request
		evicts           bool
	}{
		"same tenant":          {Request{Tenant: "a"}, Request{Tenant: "a"}, false},
		"tenant with fewer":    {Request{Tenant: "a"}, Request{Tenant: "b"}, true},
		"higher class":         {Request{Class: "low"}, Request{}, true},
		"lower class and none": {Request{}, Request{Class: "low", Tenant: "b"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			q, _ := busyQueue(t, 1, Rules{Queue: 4}.WithLevel("low", Background))
			var last Entry
			for range 4 {
				last = enter(t, q, c.queued, start, Wait)
			}
			_, d := q.Enter(c.arriving, start)
			assert.Equal(t, d.Evicted.Valid(), c.evicts)
			assert.Equal(t, d.Evicted.generation, map[bool]uint32{true: last.generation}[c.evicts])
			assert.Equal(t, q.Load(start).Queued, 4)
		})
	}
}

// Guards against requests that wait for a slot only to miss their deadline, and
// against a tenant that is refused because of the backlog of another.
func TestEarlyRefusal(t *testing.T) {
	q, _ := busyQueue(t, 2, Rules{})
	for range 8 {
		enter(t, q, Request{Tenant: "a"}, start, Wait)
	}
	tight := after(30 * time.Millisecond)
	_, d := q.Enter(Request{Tenant: "a", Deadline: tight}, start)
	assert.DeepEqual(t, d, Decision{Reason: Late, After: 45 * time.Millisecond}, entries)
	assert.Assert(t, d.Err().Wait == d.After)
	enter(t, q, Request{Tenant: "b", Deadline: tight}, start, Wait)
	enter(t, q, Request{Deadline: start}, start, Refuse)
	// A stalled server finishes no requests; only their ages show the stall.
	enter(t, q, Request{Tenant: "c", Deadline: after(1040 * time.Millisecond)}, after(time.Second), Refuse)
}

// Guards against queued entries that run after their deadline or are never reported.
func TestQueuedEntriesExpire(t *testing.T) {
	q, running := busyQueue(t, 1, Rules{})
	expiring := enter(t, q, Request{Deadline: after(20 * time.Millisecond)}, start, Wait)
	kept := enter(t, q, Request{}, start, Wait)
	assert.DeepEqual(t, q.Leave(running[0], after(20*time.Millisecond), nil), []Entry{kept}, entries)
	_, expired := q.Tick(after(20*time.Millisecond), nil, nil)
	assert.DeepEqual(t, expired, []Entry{expiring}, entries)
	assert.Equal(t, q.Stats().Expired, uint64(1))
}

// Guards against a cold server that gets all its slots at once, and a server that
// shed load and is overloaded right after its pause.
func TestUsableSlotsRampUp(t *testing.T) {
	q := &Queue{}
	q.SlowStart(start)
	slots := func(d time.Duration) int { return q.Load(after(d)).Slots }
	for d, want := range map[time.Duration]int{-time.Hour: 1, 0: 1, 5 * time.Second: 6, 10 * time.Second: 12, time.Hour: 12} {
		assert.Equal(t, slots(d), want, "%v", d)
	}
	q.Pause(time.Hour, after(20*time.Second))
	_, d := q.Enter(Request{}, after(49*time.Second))
	assert.DeepEqual(t, d, Decision{Reason: Paused, After: time.Second}, entries)
	assert.Assert(t, q.Load(after(49*time.Second)).Refusing)
	assert.Equal(t, slots(50*time.Second), 3)
	assert.Equal(t, slots(60*time.Second), 12)
}

// Guards against a drain that drops queued requests or admits new ones.
func TestDrainFinishesQueuedRequests(t *testing.T) {
	q, running := busyQueue(t, 1, Rules{})
	enter(t, q, Request{}, start, Wait)
	q.Drain()
	_, d := q.Enter(Request{}, start)
	assert.Equal(t, fmt.Sprintf("%v %v", d.Reason, d.Err().Kind), "draining draining")
	next := q.Leave(running[0], start, nil)
	assert.Assert(t, len(next) == 1 && !q.Idle())
	q.Cancel(next[0], start, nil)
	assert.Assert(t, q.Idle())
}
