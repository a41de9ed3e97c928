package experiment

import (
	"time"
)

const (
	second = time.Second
	// faultStart is the start of single faults.
	faultStart = warmUp + second
	// noticed is the time until the membership knows that a node is gone.
	noticed = 2 * second
)

// Case is a disturbance of section 4.
type Case struct {
	Name string
	plan func(*world)
}

// Cases lists the cases in the order of the tables.
func Cases() []Case {
	return []Case{
		{"steady", func(*world) {}},
		{"slow-5ms", func(w *world) { neighbours(w, 50*time.Millisecond, 5*time.Millisecond) }},
		{"slow-250ms", func(w *world) { neighbours(w, 500*time.Millisecond, 250*time.Millisecond) }},
		{"slow-2s", slowSeconds},
		{"ten-times", func(w *world) { w.after(warmUp, func() { w.servers[1].setSlow(10) }) }},
		{"fail-fast", func(w *world) { broken(w, failing, 2*second) }},
		{"crash", func(w *world) { broken(w, crashed, 1500*time.Millisecond) }},
		{"lying", lying},
		{"domain-lost", domainLost},
		{"region-cut", regionCut},
		{"burst", burst},
	}
}

// CaseNamed returns the case with the name.
func CaseNamed(name string) Case {
	for _, c := range Cases() {
		if c.Name == name {
			return c
		}
	}
	return Case{name, func(*world) {}}
}

// neighbours slows a random server 5x for about the given time, in each
// period.
func neighbours(w *world, period, length time.Duration) {
	for at := warmUp; at < warmUp+w.opt.Length; at += period {
		s := w.servers[w.faults.IntN(len(w.servers))]
		lasts := time.Duration((0.5 + w.faults.Float64()) * float64(length))
		w.after(at, func() { s.setSlow(5) })
		w.after(at+lasts, func() { s.setSlow(1) })
	}
}

func slowSeconds(w *world) {
	for k := range 2 {
		s := w.servers[1+k]
		w.after(faultStart+time.Duration(k)*2*second, func() { s.setSlow(5) })
		w.after(faultStart+time.Duration(k+1)*2*second, func() { s.setSlow(1) })
	}
}

func broken(w *world, m mode, lasts time.Duration) {
	s := w.servers[1]
	w.after(faultStart, func() { s.setMode(m) })
	w.after(faultStart+lasts, func() { s.setMode(up) })
}

// lying makes a server slow while every load it gives, also those on answers,
// claims that it is idle and fast.
func lying(w *world) {
	s := w.servers[1]
	w.after(faultStart, func() { s.lying = true; s.setSlow(5) })
	w.after(faultStart+3*second, func() { s.lying = false; s.setSlow(1) })
}

// domainLost silences the servers of a failure domain. Their callers connect
// to other entries at once.
func domainLost(w *world) {
	lost := w.servers[0].Domain
	each := func(do func(i int, s *server)) func() {
		return func() {
			for i, s := range w.servers {
				if s.Domain == lost {
					do(i, s)
				}
			}
		}
	}
	w.after(faultStart, each(func(i int, s *server) { w.gone[i] = true; s.setMode(silent) }))
	w.after(faultStart+noticed, each(func(i int, _ *server) { w.setDead(i, true) }))
	w.after(faultStart+3*second, each(func(_ int, s *server) { s.setMode(up) }))
	w.after(faultStart+3500*time.Millisecond, each(func(i int, _ *server) { w.gone[i] = false; w.setDead(i, false) }))
}

func (w *world) setDead(i int, dead bool) {
	for entry := range w.dead {
		w.dead[entry][i] = dead
	}
}

// regionCut separates a region from the others.
func regionCut(w *world) {
	name := w.dep.Regions[2]
	pairs := func(dead bool) func() {
		return func() {
			for a, s := range w.servers {
				for b, t := range w.servers {
					if s.Region != t.Region && (s.Region == name || t.Region == name) {
						w.dead[a][b] = dead
					}
				}
			}
		}
	}
	w.after(faultStart, func() { w.region = name })
	w.after(faultStart+noticed, pairs(true))
	w.after(faultStart+3*second, func() { w.region = "" })
	w.after(faultStart+3500*time.Millisecond, pairs(false))
}

// burst triples the arrivals twice for 200 ms.
func burst(w *world) {
	for k := range 2 {
		at := faultStart + time.Duration(k)*2*second
		w.after(at, func() { w.burst = 3 })
		w.after(at+200*time.Millisecond, func() { w.burst = 1 })
	}
}
