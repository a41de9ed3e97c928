package server

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// forwardedHeaders lists the headers that a server copies to the next request of a
// chain of calls.
var forwardedHeaders = []string{"Request-Timeout", "Request-Hop", "Retry-Allowance", "Tenant", "Class"}

// callNext makes the next call of a chain, to the same service through a node, and
// forwards the answer, unless the call has failed and the server holds failures.
func (s *Server) callNext(w http.ResponseWriter, r *http.Request, remaining int) {
	target := url.URL{Scheme: "http", Host: s.Entry, Path: r.URL.Path}
	query := r.URL.Query()
	query.Set("chain", strconv.Itoa(remaining-1))
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(r.Context(), r.Method, target.String(), nil)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for _, name := range forwardedHeaders {
		request.Header.Set(name, r.Header.Get(name))
	}
	request.Header.Set("Request-Parent", r.Header.Get("Request-Id"))
	response, err := s.client.Do(request)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	if r.URL.Query().Get("hold") == "1" && response.StatusCode >= http.StatusInternalServerError {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Retry-Allowance", response.Header.Get("Retry-Allowance"))
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}
