package daemon

import (
	"net/http"
	"net/url"
	"testing"

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
