package slots

func (l *Limiter) hasQueued(priority int) bool {
	return len(l.queue) > 0 && !l.queue[0].late && l.queue[0].Priority <= priority
}

// insert keeps the queue in order: requests that can meet their objective before
// late ones, then by priority, then by arrival.
func (l *Limiter) insert(run *Run) {
	i := len(l.queue)
	for i > 0 && run.before(l.queue[i-1]) {
		i--
	}
	l.queue = append(l.queue, nil)
	copy(l.queue[i+1:], l.queue[i:])
	l.queue[i] = run
}

func (r *Run) before(other *Run) bool {
	if r.late != other.late {
		return other.late
	}
	return r.Priority < other.Priority
}

// evict refuses the last queued request to make room for a more urgent one.
func (l *Limiter) evict(priority int) bool {
	last := l.queue[len(l.queue)-1]
	if !last.late && last.Priority <= priority {
		return false
	}
	l.queue = l.queue[:len(l.queue)-1]
	last.waiting = false
	last.Wake(false)
	return true
}

func (l *Limiter) remove(run *Run) {
	for i, r := range l.queue {
		if r == run {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			run.waiting = false
			return
		}
	}
}
