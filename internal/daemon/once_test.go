package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
)

// Guards against a resent key that gets another answer than the first one, or
// none: the kept answer once shared its header map with the answer on its way
// to the caller, so that it was kept without its body.
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
