package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an answer that breaks off and looks complete to its caller, also to one
// that takes the end of the connection for the end of the body.
func TestBrokenBodyDoesNotLookWhole(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		length  int64
		broken  bool
	}{
		"chunks":                {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", -1, false},
		"chunks, broken":        {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", -1, true},
		"length, broken":        {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 100_000, true},
		"HTTP/1.0":              {"GET / HTTP/1.0\r\nHost: a\r\n\r\n", -1, false},
		"HTTP/1.0, broken":      {"GET / HTTP/1.0\r\nHost: a\r\n\r\n", -1, true},
		"HTTP/1.0, length":      {"GET / HTTP/1.0\r\nHost: a\r\n\r\n", 100_000, true},
		"HTTP/1.0, kept":        {"GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n", -1, true},
		"HTTP/1.0, kept, whole": {"GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n", -1, false},
		"last on connection":    {"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", -1, true},
	} {
		t.Run(name, func(t *testing.T) {
			part := strings.Repeat("x", 50_000)
			s := &Server{Handler: func(context.Context, *http.Request, []byte) *http.Response {
				var body io.Reader = strings.NewReader(part)
				if c.broken {
					body = io.MultiReader(body, failingReader{})
				}
				return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), ContentLength: c.length, Body: io.NopCloser(body)}
			}}
			assert.NilError(t, s.Listen("127.0.0.1:0"))
			defer s.Close()
			conn, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(conn, c.request)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil && c.broken {
				return // reset before its head was read
			}
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, err != nil, c.broken, "%d bytes, %v", len(body), err)
			if !c.broken {
				assert.Equal(t, string(body), part)
			}
		})
	}
}

// failingReader fails after a part of a body.
type failingReader struct{}

// Read implements io.Reader.
func (failingReader) Read([]byte) (int, error) { return 0, errors.New("the answer broke off") }
