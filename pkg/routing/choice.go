package routing

import "time"

// candidate is a server compared in a decision.
type candidate struct {
	entry    *entry
	expected float64 // expected latency in nanoseconds
}

// fill sets Considered to the chosen server, followed by the other candidates with
// the lowest expected latency. It overwrites elements of p.candidates.
func (c *Choice) fill(p *pool, chosen *entry, at time.Duration) {
	remaining := p.candidates
	for c.N < len(c.Considered) && len(remaining) > 0 {
		best := 0
		for i := range remaining {
			if remaining[i].entry == chosen || remaining[best].entry != chosen && remaining[i].expected < remaining[best].expected {
				best = i
			}
		}
		c.add(remaining[best], p, at)
		last := len(remaining) - 1
		remaining[best] = remaining[last]
		remaining = remaining[:last]
	}
}

func (c *Choice) add(s candidate, p *pool, at time.Duration) {
	c.Considered[c.N] = Considered{
		ID: s.entry.ID, Expected: time.Duration(s.expected),
		Load: float32(s.entry.load(p, at)), Own: int32(s.entry.own), Age: s.entry.age(at),
	}
	c.N++
}
