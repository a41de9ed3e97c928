package http1

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
)

// Text returns a plain text response.
func Text(status int, text string) *http.Response {
	return Bytes(status, "text/plain; charset=utf-8", []byte(text+"\n"))
}

// Bytes returns a response with the given body.
func Bytes(status int, contentType string, body []byte) *http.Response {
	return &http.Response{
		StatusCode:    status,
		Header:        http.Header{"Content-Type": {contentType}},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
}

// Adapt converts a net/http handler. The response body is buffered in memory, so
// it should be small.
func Adapt(h http.Handler) Handler {
	return func(ctx context.Context, r *http.Request, body []byte) *http.Response {
		r = r.WithContext(ctx)
		r.Body = io.NopCloser(bytes.NewReader(body))
		w := &recorder{header: make(http.Header)}
		h.ServeHTTP(w, r)
		if w.status == 0 {
			w.status = http.StatusOK
		}
		response := Bytes(w.status, w.header.Get("Content-Type"), w.body.Bytes())
		response.Header = w.header
		return response
	}
}

type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *recorder) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.header.Get("Content-Type") == "" {
		w.header.Set("Content-Type", strings.TrimSuffix(http.DetectContentType(p), ";"))
	}
	return w.body.Write(p)
}
