package daemon

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
)

// Guards against announcements that no server on this host can have sent: their values
// would get into rows, messages between nodes and the address of the server.
func TestAnnouncementsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		status int
	}{
		"ready":             {`{"service":"stock","addr":"127.0.0.1:8147","slots":4,"state":"ready"}`, http.StatusOK},
		"draining":          {`{"service":"stock","addr":"127.0.0.1:8147","slots":4,"state":"draining"}`, http.StatusOK},
		"unknown state":     {`{"service":"stock","addr":"127.0.0.1:8147","slots":4,"state":"drainnig"}`, http.StatusBadRequest},
		"no state":          {`{"service":"stock","addr":"127.0.0.1:8147","slots":4}`, http.StatusBadRequest},
		"service, line end": {`{"service":"stock\r\n","addr":"127.0.0.1:8147","slots":4,"state":"ready"}`, http.StatusBadRequest},
		"service, slash":    {`{"service":"stock/../x","addr":"127.0.0.1:8147","slots":4,"state":"ready"}`, http.StatusBadRequest},
		"addr, line end":    {`{"service":"stock","addr":"127.0.0.1:8147\r\n","slots":4,"state":"ready"}`, http.StatusBadRequest},
		"addr, no port":     {`{"service":"stock","addr":"127.0.0.1","slots":4,"state":"ready"}`, http.StatusBadRequest},
		"another type":      {`{"service":"stock","addr":"127.0.0.1:8147","slots":"4","state":"ready"}`, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			var n Node
			n.Log = &log.Logger{Handler: discard.New()}
			response := n.handleAnnounce(t.Context(), &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/announce"}}, []byte(c.body))
			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, n.local.get().Addr != "", c.status == http.StatusOK)
		})
	}
}

// Guards against a late announcement that brings a draining server, or one of before, back
// into use.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	const addr, other = "127.0.0.1:1", "127.0.0.1:2"
	for name, c := range map[string]struct {
		first, second announcement
		// after is the time between the two.
		after           time.Duration
		late, restarted bool
	}{
		"next":                     {announcement{"s", addr, 4, stateReady, 5}, announcement{"s", addr, 4, stateReady, 5}, 0, false, false},
		"drains":                   {announcement{"s", addr, 4, stateReady, 5}, announcement{"s", addr, 4, stateDraining, 5}, 0, false, false},
		"from before draining":     {announcement{"s", addr, 4, stateDraining, 5}, announcement{"s", addr, 4, stateReady, 5}, 0, true, false},
		"next process":             {announcement{"s", addr, 4, stateDraining, 5}, announcement{"s", addr, 4, stateReady, 6}, 0, false, true},
		"process of before":        {announcement{"s", addr, 4, stateReady, 5}, announcement{"t", other, 4, stateReady, 4}, 0, true, false},
		"clock went back":          {announcement{"s", addr, 4, stateReady, 5}, announcement{"s", addr, 4, stateReady, 4}, announceTTL, false, false},
		"no start":                 {announcement{"s", addr, 4, stateDraining, 0}, announcement{"s", addr, 4, stateReady, 0}, 0, false, false},
		"no start, another server": {announcement{"s", addr, 4, stateReady, 0}, announcement{"t", other, 4, stateReady, 0}, 0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			var l localServer
			_, _, late := l.update(c.first, now)
			assert.Assert(t, !late)
			_, restarted, late := l.update(c.second, now.Add(c.after))
			assert.Equal(t, late, c.late)
			assert.Equal(t, restarted, c.restarted)
			want := c.second
			if c.late {
				want = c.first
			}
			assert.Equal(t, l.get(), want)
		})
	}
}
