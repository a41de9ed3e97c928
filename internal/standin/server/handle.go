package server

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
)

// handle runs one request. The query may hold: delay (milliseconds), size
// (bytes of the answer), chunk (1: no Content-Length), cut (bytes after which
// the connection is closed), status, crash (1), chain (calls still to make),
// last (delay of the last call of a chain).
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.faults.get("shed") > 0 {
		s.faults.count("shed")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	entry := s.Journal.begin(r, body)
	defer s.Journal.end(entry)
	query := r.URL.Query()
	if query.Get("crash") == "1" {
		s.crash(w)
		return
	}
	if s.faults.get("fail") > 0 {
		s.faults.count("fail")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !s.work(r.Context(), query) {
		s.Journal.cancel(entry)
		return
	}
	if chain := number(query, "chain", 0); chain > 0 {
		s.chain(w, r, chain)
		return
	}
	s.answer(w, r, body, query)
}

func (s *Server) crash(w http.ResponseWriter) {
	s.faults.count("crash")
	if s.Crash != nil {
		s.Crash()
		return
	}
	s.stop()
	_ = s.listener.Close()
	go func() { _ = s.http.Close() }()
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// work waits as long as the request takes and reports whether it was not
// cancelled.
func (s *Server) work(ctx context.Context, query url.Values) bool {
	delay := s.Delay
	if ms := number(query, "delay", -1); ms >= 0 {
		delay = time.Duration(ms) * time.Millisecond
	}
	if ms := number(query, "last", -1); ms >= 0 && number(query, "chain", 0) == 0 {
		delay = time.Duration(ms) * time.Millisecond
	}
	if slow := s.faults.get("slow"); slow > 0 {
		s.faults.count("slow")
		delay *= time.Duration(slow)
	}
	return clock.Sleep(ctx, delay)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, body []byte, query url.Values) {
	prefix := EchoLine(r.Header.Get("Request-Id"), r.URL.RequestURI(), body)
	size := max(number(query, "size", len(prefix)), len(prefix))
	if query.Get("chunk") != "1" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	status := number(query, "status", http.StatusOK)
	w.WriteHeader(status)
	cut := number(query, "cut", -1)
	if cut >= 0 {
		s.faults.count("cut")
	}
	s.writeBody(w, prefix, size, cut)
}

func (s *Server) writeBody(w http.ResponseWriter, prefix string, size, cut int) {
	chunk := make([]byte, 32<<10)
	for sent := 0; sent < size; {
		n := min(len(chunk), size-sent)
		if cut >= 0 {
			n = min(n, cut-sent)
		}
		FillBody(chunk[:n], prefix, sent)
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		sent += n
		if cut >= 0 && sent >= cut {
			panic(http.ErrAbortHandler)
		}
	}
}

// EchoLine is the start of every answer: it shows that the answer belongs to the
// request.
func EchoLine(id, uri string, body []byte) string {
	sum := fnv.New64a()
	_, _ = sum.Write(body)
	return fmt.Sprintf("id=%s uri=%s body=%016x\n", id, uri, sum.Sum64())
}

// FillBody writes the part of the answer's body that starts at offset: the proof
// again and again.
func FillBody(p []byte, proof string, offset int) {
	for i := range p {
		p[i] = proof[(offset+i)%len(proof)]
	}
}

func number(query url.Values, name string, missing int) int {
	n, err := strconv.Atoi(query.Get(name))
	if err != nil {
		return missing
	}
	return n
}
