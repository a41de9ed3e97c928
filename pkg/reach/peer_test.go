package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// partition simulates ten seconds in which a third of 30 peers does not answer, with
// one request every 70 ms. It returns how many requests went to such a peer, and how
// long after the end of the partition the last peer was used again.
//
// usable reports whether requests may be sent to peer i, failed records a request
// that peer i did not answer, and probe is called every 10 ms for each peer of that
// third; up is true once the partition has ended.
func partition(usable func(i int, now time.Time) bool, failed func(i int, now time.Time), probe func(i int, now time.Time, up bool)) (lost int, recovery time.Duration) {
	const peers, cut = 30, 10
	end := epoch.Add(10 * time.Second)
	request := 0
	for now := epoch; now.Before(end.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
		up := !now.Before(end)
		for i := range cut {
			probe(i, now, up)
		}
		if request++; request%7 == 0 { // every 70 ms
			i := request / 7 % peers
			for !usable(i, now) {
				i = (i + 1) % peers
			}
			if i < cut && !up {
				lost++
				failed(i, now)
			}
		}
		if up {
			waiting := false
			for i := range cut {
				waiting = waiting || !usable(i, now)
			}
			if !waiting {
				return lost, now.Sub(end)
			}
		}
	}
	return lost, time.Hour
}

// Guards against requests that are lost to unreachable peers: if a peer is used
// again after a pause without a probe, each pause costs one request.
func TestPartitionCostsOneRequestPerPeer(t *testing.T) {
	var peers [10]Peer
	lost, recovery := partition(
		func(i int, _ time.Time) bool { return i >= len(peers) || !peers[i].Unreachable() },
		func(i int, now time.Time) { peers[i].Failed(now) },
		func(i int, now time.Time, up bool) {
			if !peers[i].ProbeDue(now) {
				return
			}
			if up {
				peers[i].Answered()
			}
		},
	)
	assert.Assert(t, lost <= len(peers), "%d requests went to a peer that was cut off", lost)
	assert.Assert(t, recovery <= maxInterval, "a peer was unused for %s after the end", recovery)

	// The compared scheme uses a peer again, without a probe, after a pause that
	// doubles with each failure from 200 ms to 3 s.
	var until [10]time.Time
	var failures [10]int
	paused, _ := partition(
		func(i int, now time.Time) bool { return i >= len(until) || !now.Before(until[i]) },
		func(i int, now time.Time) {
			until[i] = now.Add(min(200*time.Millisecond<<failures[i], 3*time.Second))
			failures[i]++
		},
		func(int, time.Time, bool) {},
	)
	assert.Assert(t, paused >= 3*lost, "pauses alone cost %d requests, probes %d", paused, lost)
}

// Guards against a peer that gets requests before it has answered, and against probes
// that are sent too early, too late or for ever.
func TestTransitions(t *testing.T) {
	for name, c := range map[string]struct {
		do          func(p *Peer)
		unreachable bool
		next        time.Duration
	}{
		"never failed":              {func(*Peer) {}, false, 0},
		"failed":                    {func(p *Peer) { p.Failed(epoch) }, true, firstProbe},
		"failed twice at once":      {func(p *Peer) { p.Failed(epoch); p.Failed(epoch.Add(time.Millisecond)) }, true, firstProbe},
		"failed again":              {func(p *Peer) { p.Failed(epoch); p.Failed(epoch.Add(firstProbe)) }, true, 3 * firstProbe},
		"probed without answer":     {func(p *Peer) { p.Failed(epoch); p.ProbeDue(epoch.Add(firstProbe)) }, true, firstProbe + maxInterval},
		"answered":                  {func(p *Peer) { p.Failed(epoch); p.Answered() }, false, 0},
		"message while unreachable": {func(p *Peer) { p.Failed(epoch); p.ProbeNow(epoch.Add(time.Millisecond)) }, true, time.Millisecond},
		"message while reachable":   {func(p *Peer) { p.ProbeNow(epoch) }, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var p Peer
			c.do(&p)
			assert.Equal(t, p.Unreachable(), c.unreachable)
			if c.unreachable {
				assert.Assert(t, !p.ProbeDue(epoch.Add(c.next-time.Millisecond)))
				assert.Assert(t, p.ProbeDue(epoch.Add(c.next)))
			}
		})
	}
	var p Peer
	assert.Assert(t, p.Failed(epoch))
	assert.Assert(t, !p.Failed(epoch.Add(time.Second)))
	assert.Assert(t, !p.Expired(epoch.Add(expiry-time.Second)))
	assert.Assert(t, p.Expired(epoch.Add(expiry)))
	assert.Assert(t, p.Answered())
	assert.Assert(t, !p.Answered())
}
