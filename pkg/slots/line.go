package slots

func (g *Limiter) hasWaiting(priority int) bool {
	return len(g.line) > 0 && !g.line[0].late && g.line[0].Priority <= priority
}

// insert keeps the line in order: what can be on time before what is late, then by
// priority, then by arrival.
func (g *Limiter) insert(run *Run) {
	i := len(g.line)
	for i > 0 && run.before(g.line[i-1]) {
		i--
	}
	g.line = append(g.line, nil)
	copy(g.line[i+1:], g.line[i:])
	g.line[i] = run
}

func (r *Run) before(other *Run) bool {
	if r.late != other.late {
		return other.late
	}
	return r.Priority < other.Priority
}

// evict turns away the last of the line for a more urgent request.
func (g *Limiter) evict(priority int) bool {
	last := g.line[len(g.line)-1]
	if !last.late && last.Priority <= priority {
		return false
	}
	g.line = g.line[:len(g.line)-1]
	last.waiting = false
	last.Wake(false)
	return true
}

func (g *Limiter) remove(run *Run) {
	for i, r := range g.line {
		if r == run {
			g.line = append(g.line[:i], g.line[i+1:]...)
			run.waiting = false
			return
		}
	}
}
