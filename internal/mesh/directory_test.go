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

func entryOf(node string, change uint64) roster.Entry {
	return roster.Entry{
		Node: node, Start: 1, Change: change, Addr: node + ":1", Domain: "d", Region: "r", Service: "s",
		Server: "i" + node, Slots: 4, State: roster.Ready,
	}
}

func newDirectory(nodes ...string) *directory {
	d := &directory{Options: &Options{Node: "n0", Domain: "d", Region: "r", Service: "s", Log: &log.Logger{Handler: discard.New()}}}
	for _, n := range nodes {
		d.merge([]roster.Entry{entryOf(n, 1)}, epoch)
	}
	return d
}

// Guards against requests that go to nodes which cannot serve them, again and
// again, and against nodes that are left out after they are back.
func TestUnusableNodesAreLeftOut(t *testing.T) {
	absent := call.Load{Draining: true}
	for name, c := range map[string]struct {
		do         func(d *directory)
		out, avoid bool
	}{
		"fresh":             {func(*directory) {}, false, false},
		"cannot be reached": {func(d *directory) { d.unreachable("n1", errors.New("x"), epoch) }, true, false},
		"reached again": {func(d *directory) {
			d.unreachable("n1", errors.New("x"), epoch)
			d.reached("n1")
		}, false, false},
		"unknown node": {func(d *directory) { d.unreachable("n9", errors.New("x"), epoch) }, false, false},
		"no server":    {func(d *directory) { d.observe("n1", absent, epoch) }, false, true},
		"server is back": {func(d *directory) {
			d.observe("n1", absent, epoch)
			d.merge([]roster.Entry{entryOf("n1", 2)}, epoch)
		}, false, false},
		"node started anew": {func(d *directory) {
			d.unreachable("n1", errors.New("x"), epoch)
			e := entryOf("n1", 1)
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

// Guards against a node that is asked with every request though it has no server,
// and against one refusal that counts several times.
func TestAbsentServersAreAskedLessAndLess(t *testing.T) {
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

// Guards against a probe for each request, and against none.
func TestProbesOfNodesThatAreOut(t *testing.T) {
	d := newDirectory("n1", "n2")
	d.unreachable("n1", errors.New("x"), epoch)
	probes := 0
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		probe, lost := d.due(now)
		assert.Equal(t, len(lost), 0)
		probes += len(probe)
	}
	assert.Assert(t, probes >= 9 && probes <= 11, "%d probes in 10 s", probes)
	_, lost := d.due(epoch.Add(time.Hour))
	assert.Equal(t, len(lost), 1)
	d.forget("n1")
	assert.Equal(t, len(d.servers("s", nil)), 1)
}
