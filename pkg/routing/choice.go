package routing

import "time"

// candidate is a server that a decision looked at.
type candidate struct {
	e    *entry
	cost float64
}

// fill records the chosen server and the best of the other candidates.
func (c *Choice) fill(p *pool, chosen *entry, at time.Duration) {
	seen := p.seen
	for c.N < len(c.Considered) && len(seen) > 0 {
		best := 0
		for i := range seen {
			if seen[i].e == chosen || seen[best].e != chosen && seen[i].cost < seen[best].cost {
				best = i
			}
		}
		c.add(seen[best], p, at)
		last := len(seen) - 1
		seen[best] = seen[last]
		seen = seen[:last]
	}
}

func (c *Choice) add(s candidate, p *pool, at time.Duration) {
	c.Considered[c.N] = Considered{
		ID: s.e.ID, Expected: time.Duration(s.cost),
		Load: float32(s.e.load(p, at)), Own: int32(s.e.own), Age: s.e.age(at),
	}
	c.N++
}
