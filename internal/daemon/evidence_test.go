package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/operator"
)

// runCommand runs a command at the operator address of node i.
func (c *cluster) runCommand(t *testing.T, i int, command string) (string, error) {
	t.Helper()
	key, err := operator.SecretKey("settings", []byte(c.nodes[i].TokenSecret))
	assert.NilError(t, err)
	token, err := key.Sign(operator.Identity{Name: "ana", Role: operator.RoleOperator}, time.Now(), time.Hour)
	assert.NilError(t, err)
	client := operator.Client{Nodes: []string{"http://" + c.nodes[i].OperatorAddr()}, Token: token}
	return client.Run(context.Background(), command)
}

func (c *cluster) get(t *testing.T, i int, id string) int {
	t.Helper()
	response, _, err := c.call(context.Background(), i, http.MethodGet, "/stock/item", http.Header{"Request-Id": {id}}, nil)
	assert.NilError(t, err)
	return response.StatusCode
}

// Guards against an explanation that covers only the queried node, omits that a node
// did not answer, or lacks the numbers of a decision.
func TestExplainAsksAllNodes(t *testing.T) {
	c := startCluster(t, 6)
	// The server beside node 1 drains, so that node 1 places on other nodes.
	c.servers[1].Drain()
	for i := range 5 {
		assert.Equal(t, c.get(t, 1, fmt.Sprint("r", i)), http.StatusOK)
	}
	var id, chosen string
	for _, d := range c.nodes[1].telemetry.ring.Recent(100, nil) {
		if d.Choice.ID != "n1" && d.Choice.N > 1 {
			id, chosen = d.Request, d.Choice.ID
		}
	}
	assert.Assert(t, id != "", "node 1 kept all requests for itself")
	text, err := c.runCommand(t, 3, "explain "+id)
	assert.NilError(t, err)
	for _, want := range []string{id, "n1", "place", "answered", chosen, "servers considered", "higher expected time"} {
		assert.Assert(t, strings.Contains(text, want), "%q is missing in\n%s", want, text)
	}
	assert.Assert(t, !strings.Contains(text, "did not answer"), text)

	// A node that has just died is still a member, or is listed as dead.
	c.nodes[2].Kill()
	text, err = c.runCommand(t, 3, "explain "+id)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "node n2 did not answer"), text)
}

// Guards against a refusal by the node beside the server whose cause is not recorded.
func TestRefusalsAreExplained(t *testing.T) {
	c := startCluster(t, 2)
	// Only the queues are drained: a drain announced by membership would race with the
	// handover of the request.
	c.nodes[0].admission.queue.Drain()
	c.nodes[1].admission.queue.Drain()
	assert.Equal(t, c.get(t, 0, "refused-1"), http.StatusServiceUnavailable)
	text, err := c.runCommand(t, 1, "explain refused-1")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(text, "refuse  "), 2, text)
	for _, want := range []string{"handover", "draining"} {
		assert.Assert(t, strings.Contains(text, want), "%q is missing in\n%s", want, text)
	}
	assert.Assert(t, strings.Contains(c.scrape(t, 0), `vanillasail_refusals_total{class="default",kind="draining",service="stock",tenant="default"} 1`))
}

// Guards against a resent key whose replayed answer or refusal cannot be explained.
func TestResentKeysAreExplained(t *testing.T) {
	c := startCluster(t, 2)
	send := func(i int, id, uri string) int {
		header := http.Header{"Request-Id": {id}, "Idempotency-Key": {"order-7"}}
		response, _, err := c.call(context.Background(), i, http.MethodPost, uri, header, nil)
		assert.NilError(t, err)
		return response.StatusCode
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := send(0, "first", "/stock/order"); status != http.StatusOK {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
	assert.Equal(t, send(1, "again", "/stock/order"), http.StatusOK)
	assert.Equal(t, send(1, "other", "/stock/other"), http.StatusUnprocessableEntity)
	for id, want := range map[string]string{"first": "place  ", "again": "replay  ", "other": "key-reused  "} {
		text, err := c.runCommand(t, 0, "explain "+id)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(text, want), "%s: %q is missing in\n%s", id, want, text)
	}
}

// Guards against a metric that is documented but not exported, and against requests
// that are refused before placement without being counted.
func TestScrapeHasAllMetrics(t *testing.T) {
	c := startCluster(t, 2)
	assert.Equal(t, c.get(t, 0, "scraped"), http.StatusOK)
	response, _, err := c.call(context.Background(), 0, http.MethodGet, "/stock/item", http.Header{"Request-Timeout": {"soon"}}, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	names, err := os.ReadFile("../metrics/testdata/names.golden")
	assert.NilError(t, err)
	text := c.scrape(t, 0)
	for line := range strings.Lines(string(names)) {
		assert.Assert(t, strings.Contains(text, line), "%s is missing in\n%s", line, text)
	}
	for _, want := range []string{
		"200text/plain; version=0.0.4", `vanillasail_server_slots 12`, `vanillasail_members 2`,
		`vanillasail_refusals_total{class="other",kind="bad-request",service="other",tenant="other"} 1`,
		`vanillasail_decisions_total{action="place",service="stock"} 1`,
	} {
		assert.Assert(t, strings.Contains(text, want), "%s is missing in\n%s", want, text)
	}
}

func (c *cluster) scrape(t *testing.T, i int) string {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+c.nodes[i].OperatorAddr()+"/metrics", nil)
	assert.NilError(t, err)
	response, err := c.client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	var text strings.Builder
	_, err = fmt.Fprint(&text, response.StatusCode, response.Header.Get("Content-Type"), "\n")
	assert.NilError(t, err)
	_, err = io.Copy(&text, response.Body)
	assert.NilError(t, err)
	return text.String()
}

// Guards against a report that misses nodes, mixes up the windows or is not stored in
// the object store.
func TestReportComparesAllNodes(t *testing.T) {
	c := startCluster(t, 3)
	load := func(round string) {
		for i := range 30 {
			assert.Equal(t, c.get(t, i%3, fmt.Sprint(round, i)), http.StatusOK)
		}
	}
	change := func(queue int, version uint64) {
		_, err := c.runCommand(t, 0, fmt.Sprintf(`set services.stock.queue = %d because "test"`, queue))
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, n := range c.nodes {
				if n.telemetry.history.Version() != version {
					return poll.Continue("node %s measures version %d", n.ID, n.telemetry.history.Version())
				}
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	}
	change(32, 1)
	load("before")
	change(64, 2)
	load("after")
	text, err := c.runCommand(t, 1, "report 2")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "stock    default  default  30            30"), text)
	for format, want := range map[string]string{"text": "test", "json": `"title": "windows"`, "svg": "<svg"} {
		stored, err := c.runCommand(t, 2, "show report 2 as "+format)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(stored, want), "%s: %.200s", format, stored)
	}
	_, err = c.runCommand(t, 0, "report 3")
	assert.ErrorContains(t, err, "version")
}
