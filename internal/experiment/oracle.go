package experiment

// oracle knows every queue, request under way and speed at once and takes the
// server with the lowest expected time to the answer. It does not know the
// future.
type oracle struct{ base }

func (p *oracle) pick(r *request) int {
	return p.least(r, func(i int) float64 { return p.cost(r.entry, i) })
}

func (p *oracle) cost(entry, i int) float64 {
	s := p.w.servers[i]
	if s.mode != up || p.w.cut(entry, i) {
		return float64(deadline)
	}
	link := 2 * p.w.dep.delay(p.w.servers[entry].Server, s.Server)
	run := float64(meanService) * s.slow
	over := max(s.transit+len(s.running)+len(s.queue)+1-s.Slots, 0)
	return float64(link) + run + run*float64(over)/float64(s.Slots)
}
