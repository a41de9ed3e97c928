package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/standin/server"
)

const (
	pause = 2 * time.Millisecond
	// resendEvery makes each nth reservation be sent a second time.
	resendEvery = 5
)

// call runs all callers until ctx ends.
func (s *system) call(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range s.Callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				s.one(client, i, n)
				sleep(ctx, pause)
			}
		})
	}
	wg.Wait()
}

// one sends one lookup or one reservation.
func (s *system) one(client *http.Client, caller, n int) {
	entry, ok := s.ledger.entry(caller+n, len(s.nodes))
	if !ok {
		return
	}
	r := sent{id: fmt.Sprintf("c%d-%d", caller, n), class: "lookup", method: http.MethodGet, uri: "/stock/item"}
	if n%4 == 0 {
		r.class, r.method, r.uri, r.body = "reserve", http.MethodPost, "/stock/reserve", "pallet "+r.id
		r.key = r.id
	}
	s.send(client, entry, r)
	if r.key != "" && n%resendEvery == 0 {
		r.id += "-again"
		r.class = "resend"
		if other, ok := s.ledger.entry(entry+1, len(s.nodes)); ok {
			s.send(client, other, r)
		}
	}
}

// sent is a request as a caller sent it.
type sent struct {
	id, class, method, uri, body, key string
}

func (s *system) send(client *http.Client, entry int, r sent) {
	request, err := http.NewRequest(r.method, "http://"+s.nodes[entry].CallerAddr()+r.uri, strings.NewReader(r.body))
	if err != nil {
		return
	}
	request.Header.Set("Request-Id", r.id)
	request.Header.Set("Class", r.class)
	request.Header.Set("Tenant", "tenant-"+r.id[1:2])
	if r.key != "" {
		request.Header.Set("Idempotency-Key", r.key)
	}
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		s.ledger.failed(r, err)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.ledger.failed(r, err)
		return
	}
	s.ledger.answered(r, response, string(text), time.Since(start))
}

// ownAnswer reports whether the text is the answer to the request; a replayed
// answer carries the ID of the first send.
func ownAnswer(r sent, text string, replayed bool) bool {
	id := r.id
	if replayed {
		id = r.key
	}
	return text == server.Proof(id, r.uri, []byte(r.body))
}
