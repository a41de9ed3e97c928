package server

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// passedOn lists the headers that a server passes down a chain of calls.
var passedOn = []string{"Request-Timeout", "Request-Hop", "Retry-Allowance", "Tenant", "Class"}

// chain calls the same service through a node and relays the answer.
func (s *Server) chain(w http.ResponseWriter, r *http.Request, left int) {
	target := url.URL{Scheme: "http", Host: s.Entry, Path: r.URL.Path}
	query := r.URL.Query()
	query.Set("chain", strconv.Itoa(left-1))
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(r.Context(), r.Method, target.String(), nil)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for _, name := range passedOn {
		request.Header.Set(name, r.Header.Get(name))
	}
	request.Header.Set("Request-Parent", r.Header.Get("Request-Id"))
	response, err := s.client.Do(request)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.Header().Set("Retry-Allowance", response.Header.Get("Retry-Allowance"))
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}
