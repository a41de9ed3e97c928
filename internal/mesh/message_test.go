package mesh

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// Guards against deadlines and objectives that depend on the clock of the sending
// host: they are sent as remaining durations.
func TestTimesAreSentAsRemainingDurations(t *testing.T) {
	now := time.Now()
	for name, objective := range map[string]time.Duration{"ahead": 300 * time.Millisecond, "passed": -50 * time.Millisecond, "now": 0} {
		t.Run(name, func(t *testing.T) {
			raw, err := encode(message{Call: withRemainingTimes(call.Request{ID: "a", Deadline: now.Add(time.Second), Objective: now.Add(objective)}, now)})
			assert.NilError(t, err)
			before := time.Now()
			m, err := decodeMessage(raw)
			assert.NilError(t, err)
			assert.Assert(t, !m.Call.Objective.IsZero())
			left := m.Call.Deadline.Sub(before)
			assert.Assert(t, left >= time.Second && left < 2*time.Second)
			off := m.Call.Objective.Sub(before) - objective
			assert.Assert(t, off >= -time.Millisecond && off < time.Second)
		})
	}
}

// Guards against a reply of another node that is no answer in HTTP and reaches the caller as
// one, or makes an order that may have run look like one that has not.
func TestReplyWithoutAStatusIsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		reply response
		ok    bool
	}{
		"answer":     {response{Status: http.StatusOK, Ran: true}, true},
		"no status":  {response{Ran: true}, false},
		"status 099": {response{Status: 99, Ran: true}, false},
		"interim":    {response{Status: http.StatusEarlyHints, Ran: true}, false},
		"switch":     {response{Status: http.StatusSwitchingProtocols}, false},
	} {
		t.Run(name, func(t *testing.T) {
			head, err := encode(c.reply)
			assert.NilError(t, err)
			answer := &peer.Answer{Head: head, Body: io.NopCloser(strings.NewReader("body"))}
			result := newDispatch(t).decode(t.Context(), roster.Entry{Node: "n1"}, message{Call: &call.Request{Route: "r"}}, answer, nil)
			assert.Equal(t, result.answer != nil, c.ok)
			if !c.ok {
				assert.Equal(t, result.err.Kind, fault.KindCutShort)
				assert.Equal(t, result.err.Outcome, fault.Unknown)
				assert.Assert(t, result.ran)
			}
		})
	}
}

// FuzzDecodeMessage checks that no message of a peer makes a node panic.
func FuzzDecodeMessage(f *testing.F) {
	r := withRemainingTimes(call.Request{ID: "a", Header: http.Header{"A": {"b"}}, Deadline: time.Now()}, time.Now())
	raw, err := encode(message{Call: r, Version: 2, Ticket: 1})
	assert.NilError(f, err)
	f.Add(raw)
	raw, err = encode(message{Reserve: r})
	assert.NilError(f, err)
	f.Add(raw)
	raw, err = encode(message{Update: &nodeUpdate{Version: 3}})
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		m, err := decodeMessage(raw)
		if err == nil && m.Update != nil {
			_ = m.Update.Entry.Check()
		}
	})
}

// Guards against a buffer that grows with each short message of a peer whose length
// field announces a long string.
func TestOversizedMessagesDoNotGrowTheBuffer(t *testing.T) {
	for range 40 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := decodeMessage([]byte("\x81\xa1c\x81\xa1i\xdb\xff\xff\xff\xff"))
		runtime.ReadMemStats(&after)
		assert.Assert(t, err != nil)
		n := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, n < 4<<20, "%d bytes", n)
	}
}
