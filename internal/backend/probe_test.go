package backend

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/broken"
)

// Guards against answers to probes that are none and make a server healthy or give it a name,
// and against an interim answer that makes it unhealthy.
func TestAnswersToProbes(t *testing.T) {
	const (
		healthy = "HTTP/1.1 200 OK\r\nInstance: i1\r\nLoad: 1,0,4,100\r\n"
		empty   = "Content-Length: 0\r\n\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	)
	for name, c := range map[string]struct {
		answer      string
		healthy, ok bool
	}{
		"healthy":              {healthy + empty, true, true},
		"unhealthy":            {strings.Replace(healthy, "200", "503", 1) + empty, false, true},
		"ended by a close":     {healthy + "\r\nfine", true, true},
		"after interim":        {interim + interim + healthy + empty, true, true},
		"status 000":           {strings.Replace(healthy, "200", "000", 1) + empty, false, false},
		"behind status 000":    {"HTTP/1.1 000 No\r\nContent-Length: 99\r\n\r\n" + healthy + empty, false, false},
		"switch":               {strings.Replace(healthy, "200", "101", 1) + empty, false, false},
		"blank in a name":      {healthy + "Bad Name: x\r\n" + empty, false, false},
		"blank before a name":  {healthy + " Bad: x\r\n" + empty, false, false},
		"blank in a trailer":   {healthy + "Transfer-Encoding: chunked\r\n\r\n0\r\nBad Name: x\r\n\r\n", false, false},
		"only interim answers": {strings.Repeat(interim, 2*maxSkipped), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startBroken(t, &broken.Server{Answer: c.answer, End: broken.Close})
			p := Pool{HeaderNames: testHeaderNames}
			p.HeaderNames.Instance = "Instance"
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			id, load, healthy, err := p.Probe(ctx, s.Addr(), "/ready")
			assert.Equal(t, err == nil, c.ok, "%v", err)
			assert.Equal(t, healthy, c.healthy)
			if c.ok {
				assert.Equal(t, id, "i1")
				assert.Equal(t, load, ServerLoad{1, 0, 4, 1})
			} else {
				assert.Equal(t, id, "")
			}
		})
	}
}

// Guards against a second answer to a request that arrives late and is taken for the answer
// to a probe.
func TestLateAnswerReachesNoProbe(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	s := startBroken(t, &broken.Server{
		Answer: sealed + empty,
		Late:   "HTTP/1.1 200 OK\r\nInstance: late\r\nLoad: 1,0,4,100\r\n" + empty,
		Health: "HTTP/1.1 503 Service Unavailable\r\nInstance: i1\r\nLoad: 4,2,4,100\r\n" + empty,
	})
	p := Pool{HeaderNames: testHeaderNames}
	p.HeaderNames.Instance = "Instance"
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for i := range 3 {
		r := upload(fmt.Sprint(i), 0)
		_, _, err := readAnswer(p.Do(ctx, s.Addr(), r))
		assert.NilError(t, err)
		id, load, healthy, err := p.Probe(ctx, s.Addr(), broken.HealthPath)
		assert.NilError(t, err)
		assert.Equal(t, id, "i1")
		assert.Equal(t, load, ServerLoad{4, 2, 4, 1})
		assert.Assert(t, !healthy)
		assert.Equal(t, s.Requests(r.ID), 1)
	}
}
