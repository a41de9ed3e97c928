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

// handle runs one request. Query parameters: delay (milliseconds), size (bytes of
// the answer), chunk (1: no Content-Length), cut (bytes after which the connection
// is closed), status, crash (1), by (only requests of this tenant crash), chain (remaining calls), last (delay of the last
// call of a chain), hold (1: a request whose call has failed is not answered until its
// caller leaves).
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
	if by := query.Get("by"); query.Get("crash") == "1" && (by == "" || by == r.Header.Get("Tenant")) {
		s.crash(w)
		return
	}
	if s.faults.get("fail") > 0 {
		s.faults.count("fail")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !s.simulateWork(r.Context(), query) {
		s.Journal.cancel(entry)
		return
	}
	if chain := intParam(query, "chain", 0); chain > 0 {
		s.callNext(w, r, chain)
		return
	}
	s.answer(w, r, body, query)
}

// crash calls Crash, or else closes the listener and all connections.
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

// simulateWork waits for the run time of the request. It returns false if the
// request was cancelled.
func (s *Server) simulateWork(ctx context.Context, query url.Values) bool {
	delay := s.Delay
	if ms := intParam(query, "delay", -1); ms >= 0 {
		delay = time.Duration(ms) * time.Millisecond
	}
	if ms := intParam(query, "last", -1); ms >= 0 && intParam(query, "chain", 0) == 0 {
		delay = time.Duration(ms) * time.Millisecond
	}
	if slow := s.faults.get("slow"); slow > 0 {
		s.faults.count("slow")
		delay *= time.Duration(slow)
	}
	return clock.Sleep(ctx, delay)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, body []byte, query url.Values) {
	line := EchoLine(r.Header.Get("Request-Id"), r.URL.RequestURI(), body)
	size := max(intParam(query, "size", len(line)), len(line))
	if query.Get("chunk") != "1" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	status := intParam(query, "status", http.StatusOK)
	w.WriteHeader(status)
	cut := intParam(query, "cut", -1)
	if cut >= 0 {
		s.faults.count("cut")
	}
	s.writeBody(w, line, size, cut)
}

// writeBody writes the answer's body of the size. It closes the connection after cut
// bytes if cut is not negative.
func (s *Server) writeBody(w http.ResponseWriter, line string, size, cut int) {
	chunk := make([]byte, 32<<10)
	for sent := 0; sent < size; {
		n := min(len(chunk), size-sent)
		if cut >= 0 {
			n = min(n, cut-sent)
		}
		FillBody(chunk[:n], line, sent)
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		sent += n
		if cut >= 0 && sent >= cut {
			panic(http.ErrAbortHandler)
		}
	}
}

// EchoLine returns the line with which every answer begins. It contains the ID, the
// URI and a hash of the body of the request, so that tests can check that an answer
// belongs to its request.
func EchoLine(id, uri string, body []byte) string {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	return fmt.Sprintf("id=%s uri=%s body=%016x\n", id, uri, hash.Sum64())
}

// FillBody writes the part of an answer's body that starts at offset. The body
// consists of repetitions of the line.
func FillBody(p []byte, line string, offset int) {
	for i := range p {
		p[i] = line[(offset+i)%len(line)]
	}
}

func intParam(query url.Values, name string, fallback int) int {
	n, err := strconv.Atoi(query.Get(name))
	if err != nil {
		return fallback
	}
	return n
}
