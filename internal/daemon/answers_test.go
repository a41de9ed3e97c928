package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/server"
)

// Guards against answers that are mixed up between concurrent requests, truncated or
// changed.
func TestEveryCallerGetsItsOwnWholeAnswer(t *testing.T) {
	c := startCluster(t, 3)
	const callers, each = 20, 25
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range each {
				checkAnswer(t, c, caller, i)
			}
		})
	}
	wg.Wait()
}

func checkAnswer(t *testing.T, c *cluster, caller, i int) {
	id := fmt.Sprintf("r-%d-%d", caller, i)
	size := 1 + (caller*7919+i*104729)%200_000
	uri := fmt.Sprintf("/stock/item?size=%d&chunk=%d&delay=%d", size, i%2, i%3)
	body := strings.Repeat(id, i+1)
	response, text, err := c.call(context.Background(), i%3, http.MethodPost, uri,
		http.Header{"Request-Id": {id}}, strings.NewReader(body))
	if err != nil {
		t.Errorf("%s: %v", id, err)
		return
	}
	proof := server.EchoLine(id, uri, []byte(body))
	want := make([]byte, max(size, len(proof)))
	server.FillBody(want, proof, 0)
	if response.StatusCode != http.StatusOK || text != string(want) {
		t.Errorf("%s: status %d, %d of %d bytes, first difference at %d, want start %.80q, got %.80q",
			id, response.StatusCode, len(text), len(want), firstDifference(text, string(want)), want, text)
	}
}

func firstDifference(a, b string) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// Guards against an answer that the server truncated being forwarded as complete, and
// against changed status codes or HEAD lengths.
func TestAnswersAreForwardedUnchanged(t *testing.T) {
	c := startCluster(t, 2)
	cases := map[string]struct {
		method, query string
		status        int
		broken        bool
	}{
		"declared length cut short": {method: http.MethodGet, query: "size=100000&cut=70000", status: 200, broken: true},
		"chunked cut short":         {method: http.MethodGet, query: "size=100000&cut=70000&chunk=1", status: 200, broken: true},
		"unregistered status":       {method: http.MethodGet, query: "status=299", status: 299},
		"no content":                {method: http.MethodGet, query: "status=204&chunk=1", status: 204},
		"head":                      {method: http.MethodHead, query: "size=5000", status: 200},
		"large":                     {method: http.MethodGet, query: "size=20000000", status: 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for i := range c.nodes {
				response, _, err := c.call(context.Background(), i, tc.method, "/stock/x?"+tc.query, nil, nil)
				assert.Equal(t, err != nil, tc.broken, "error %v", err)
				assert.Equal(t, response.StatusCode, tc.status)
				if tc.method == http.MethodHead {
					assert.Equal(t, response.ContentLength, int64(5000))
				}
			}
		})
	}
}
