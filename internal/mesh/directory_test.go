package mesh

import (
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

var epoch = time.Unix(1000, 0)

func newEntry(node string, change uint64) roster.Entry {
	return roster.Entry{
		Node: node, Start: 1, Change: change, Addr: node + ":1", Domain: "d", Region: "r", Service: "s",
		Server: "i" + node, Slots: 4, State: roster.Ready,
	}
}

func newDirectory(nodes ...string) *directory {
	d := &directory{Options: &Options{Node: "n0", Domain: "d", Region: "r", Service: "s", Log: &log.Logger{Handler: discard.New()}}}
	for _, n := range nodes {
		d.merge([]roster.Entry{newEntry(n, 1)}, epoch)
	}
	return d
}

// Guards against requests that are sent repeatedly to nodes which cannot serve them,
// and against nodes that stay excluded after they are back.
func TestUnusableNodesAreExcluded(t *testing.T) {
	absent := call.Load{Draining: true}
	for name, c := range map[string]struct {
		do         func(d *directory)
		out, avoid bool
	}{
		"fresh":             {func(*directory) {}, false, false},
		"cannot be reached": {func(d *directory) { d.markUnreachable("n1", errors.New("x"), epoch) }, true, false},
		"reached again": {func(d *directory) {
			d.markUnreachable("n1", errors.New("x"), epoch)
			d.markReachable("n1")
		}, false, false},
		"unknown node": {func(d *directory) { d.markUnreachable("n9", errors.New("x"), epoch) }, false, false},
		"no server":    {func(d *directory) { d.observe("n1", absent, epoch) }, false, true},
		"server is back": {func(d *directory) {
			d.observe("n1", absent, epoch)
			d.merge([]roster.Entry{newEntry("n1", 2)}, epoch)
		}, false, false},
		"node restarted": {func(d *directory) {
			d.markUnreachable("n1", errors.New("x"), epoch)
			e := newEntry("n1", 1)
			e.Start = 2
			d.merge([]roster.Entry{e}, epoch)
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory("n1")
			c.do(d)
			s := d.servers("s", nil)
			assert.Equal(t, len(s), 1)
			assert.Equal(t, s[0].Unreachable, c.out)
			assert.Equal(t, s[0].Avoid.After(epoch), c.avoid)
		})
	}
}

// Guards against a node that gets every request although it has no server, and
// against one refusal that counts several times.
func TestAbsentServerBackoff(t *testing.T) {
	d := newDirectory("n1")
	asked := 0
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if !now.Before(d.servers("s", nil)[0].Avoid) {
			asked++
			d.observe("n1", call.Load{Draining: true}, now)
			d.observe("n1", call.Load{Draining: true}, now)
		}
	}
	assert.Equal(t, asked, 7) // after 0, 0.5, 1.5 and then each 2 s
}

// Guards against probes of unreachable nodes that are sent too often or not at all.
func TestProbesOfUnreachableNodes(t *testing.T) {
	d := newDirectory("n1", "n2")
	d.markUnreachable("n1", errors.New("x"), epoch)
	probes := 0
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		probe, lost := d.dueProbes(now)
		assert.Equal(t, len(lost), 0)
		probes += len(probe)
	}
	assert.Assert(t, probes >= 9 && probes <= 11, "%d probes in 10 s", probes)
	_, lost := d.dueProbes(epoch.Add(time.Hour))
	assert.Equal(t, len(lost), 1)
	d.remove("n1")
	assert.Equal(t, len(d.servers("s", nil)), 1)
}
