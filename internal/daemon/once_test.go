package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/store"
)

// Guards against a resent key that gets a different answer than the first request, or
// none: the stored answer once shared its header map with the answer being sent to the
// caller, so that it was stored without its body.
func TestResentKeyGetsTheFirstAnswer(t *testing.T) {
	const callers, each = 8, 100
	c := startCluster(t, 4)
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range each {
				c.resend(t, caller+i, fmt.Sprintf("k%d-%d", caller, i))
			}
		})
	}
	wg.Wait()
	runs := make(map[string]int)
	for _, s := range c.servers {
		for _, run := range s.Journal.Runs() {
			if runs[run.Key]++; runs[run.Key] > 1 {
				t.Errorf("key %s ran %d times", run.Key, runs[run.Key])
			}
		}
	}
}

// resend sends a key through one node and then through the next one.
func (c *cluster) resend(t *testing.T, entry int, key string) {
	header := http.Header{"Idempotency-Key": {key}, "Request-Id": {key}}
	var texts [2]string
	for i := range texts {
		response, text, err := c.call(context.Background(), (entry+i)%len(c.nodes), http.MethodPost, "/stock/reserve", header, nil)
		if err != nil {
			t.Errorf("%s: %v", key, err)
			return
		}
		if response.StatusCode != http.StatusOK || (i == 1) != (response.Header.Get("Idempotency-Replayed") == "true") {
			t.Errorf("%s: send %d: status %d, header %v", key, i, response.StatusCode, response.Header)
		}
		texts[i] = text
	}
	if texts[0] != texts[1] {
		t.Errorf("%s: first %q, then %q", key, texts[0], texts[1])
	}
}

// Guards against a planned stop of the last node that logs a warning, and against
// shards that are not handed over without one.
func TestStopOfLastNodeLogsNoWarning(t *testing.T) {
	for name, tc := range map[string]struct {
		nodes int
		want  string
	}{
		"last node":              {1, "last node stops: no member is left to take its shards"},
		"store down, others run": {2, "shards not handed over"},
	} {
		t.Run(name, func(t *testing.T) {
			logged := memory.New()
			c := startClusterWith(t, tc.nodes, func(n *Node) {
				if n.ID == "n0" {
					n.Log = &log.Logger{Handler: logged}
				}
			})
			for i := range 50 {
				c.resend(t, i, fmt.Sprintf("k%d", i))
			}
			c.store.Table.SetFault(store.Fault{Down: tc.nodes > 1})
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			c.nodes[0].Stop(ctx)
			warnings, messages := 0, make(map[string]bool)
			for _, e := range logged.Entries {
				messages[e.Message] = true
				if e.Level >= log.WarnLevel {
					warnings++
				}
			}
			assert.Assert(t, messages[tc.want], "logged %v", messages)
			assert.Equal(t, warnings > 0, tc.nodes > 1, "logged %v", messages)
		})
	}
}
