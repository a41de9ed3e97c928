package load

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/internal/standin/server"
)

// request is one request of a caller.
type request struct {
	id, class, method, uri, body, key string
	// first is the ID of the first request with the same key.
	first string
}

// sendOne sends one lookup or one keyed request. Some keyed requests are sent twice.
func (l *Generator) sendOne(client *http.Client, caller, n int) {
	addr, ok := l.pick(caller + n)
	if !ok {
		return
	}
	r := request{
		id:    fmt.Sprintf("%sc%d-%d", l.Name, caller, n),
		class: "lookup", method: http.MethodGet, uri: l.uri("item"),
	}
	if n%keyedEvery != 0 {
		l.send(client, addr, r)
		return
	}
	r.class, r.method, r.uri, r.body = "reserve", http.MethodPost, l.uri("reserve"), "pallet "+r.id
	r.key, r.first = r.id, r.id
	l.send(client, addr, r)
	if n%resendEvery == 0 {
		r.id, r.class = r.id+"-again", "resend"
		if other, ok := l.pick(caller + n + 1); ok {
			l.send(client, other, r)
		}
	}
}

func (l *Generator) uri(path string) string {
	uri := "/" + l.Service + "/" + path
	if l.Query != "" {
		uri += "?" + l.Query
	}
	return uri
}

func (l *Generator) send(client *http.Client, addr string, r request) {
	hr, err := http.NewRequest(r.method, "http://"+addr+r.uri, strings.NewReader(r.body))
	if err != nil {
		return
	}
	hr.Header.Set("Request-Id", r.id)
	hr.Header.Set("Class", r.class)
	// Keys belong to a tenant, so a resend has the tenant of the first request.
	hr.Header.Set("Tenant", "tenant-"+r.tenant())
	if r.key != "" {
		hr.Header.Set("Idempotency-Key", r.key)
	}
	l.sent.Add(1)
	start := time.Now()
	response, err := client.Do(hr)
	if err != nil {
		l.recordFailure(r, addr, err)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		l.recordFailure(r, addr, err)
		return
	}
	l.recordAnswer(r, response, string(text), time.Since(start))
}

// matches reports whether the text is the answer to the request. A replayed answer
// contains the ID of the first request.
func (r request) matches(text string, replayed bool) bool {
	id := r.id
	if replayed {
		id = r.first
	}
	return strings.HasPrefix(text, server.EchoLine(id, r.uri, []byte(r.body)))
}

func (r request) tenant() string {
	id := r.id
	if r.first != "" {
		id = r.first
	}
	return id[len(id)-1:]
}
