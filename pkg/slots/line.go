package slots

func (g *Gate) hasWaiting(priority int) bool {
	return len(g.line) > 0 && g.line[0].Priority <= priority
}

// insert keeps the line ordered by priority, then by arrival.
func (g *Gate) insert(run *Run) {
	i := len(g.line)
	for i > 0 && g.line[i-1].Priority > run.Priority {
		i--
	}
	g.line = append(g.line, nil)
	copy(g.line[i+1:], g.line[i:])
	g.line[i] = run
}

// evict turns away the last of the line for a more urgent request.
func (g *Gate) evict(priority int) bool {
	last := g.line[len(g.line)-1]
	if last.Priority <= priority {
		return false
	}
	g.line = g.line[:len(g.line)-1]
	last.waiting = false
	last.Wake(false)
	return true
}

func (g *Gate) remove(run *Run) {
	for i, r := range g.line {
		if r == run {
			g.line = append(g.line[:i], g.line[i+1:]...)
			run.waiting = false
			return
		}
	}
}
