package experiment

import "time"

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// clock is a fake clock with a binary heap of pending events. Events of the same
// instant run in the order in which they were added.
type clock struct {
	now    time.Duration
	seq    uint64
	events []event
}

// after schedules do for the instant that is d from now.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	c.events = append(c.events, event{c.now + d, c.seq, do})
	for i := len(c.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !c.less(i, parent) {
			return
		}
		c.events[i], c.events[parent] = c.events[parent], c.events[i]
		i = parent
	}
}

// every runs do once per period, for the first time after one period.
func (c *clock) every(period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		c.after(period, again)
	}
	c.after(period, again)
}

// time returns the current time as a time.Time.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// run executes events until the given instant.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := c.pop()
		c.now = e.at
		e.do()
	}
	c.now = until
}

func (c *clock) pop() event {
	top := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && c.less(child+1, child) {
			child++
		}
		if !c.less(child, i) {
			return top
		}
		c.events[i], c.events[child] = c.events[child], c.events[i]
		i = child
	}
}

func (c *clock) less(i, j int) bool {
	a, b := &c.events[i], &c.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
