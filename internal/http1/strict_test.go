package http1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against request smuggling: if two recipients disagree about the end of a
// request, a request hidden in the body of another one would run.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	const host = "Host: a\r\n"
	for name, c := range map[string]struct {
		input  string
		status int
		served int
	}{
		"plain":                   {"GET / HTTP/1.1\r\n" + host + "\r\n", 200, 1},
		"empty lines before":      {"\r\n\r\nGET / HTTP/1.1\r\n" + host + "\r\n", 200, 1},
		"chunked":                 {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n", 200, 1},
		"two lengths":             {"POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd", 400, 0},
		"list of lengths":         {"POST / HTTP/1.1\r\n" + host + "Content-Length: 4, 4\r\n\r\nabcd", 400, 0},
		"signed length":           {"POST / HTTP/1.1\r\n" + host + "Content-Length: +4\r\n\r\nabcd", 400, 0},
		"negative length":         {"POST / HTTP/1.1\r\n" + host + "Content-Length: -4\r\n\r\nabcd", 400, 0},
		"empty length":            {"POST / HTTP/1.1\r\n" + host + "Content-Length:\r\n\r\n", 400, 0},
		"huge length":             {"POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\n", 400, 0},
		"space before colon":      {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400, 0},
		"length and coding":       {"POST / HTTP/1.1\r\n" + host + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n" + host + "\r\n", 400, 0},
		"coding and length":       {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400, 0},
		"other coding":            {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400, 0},
		"coding twice":            {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, 0},
		"coding in 1.0":           {"POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, 0},
		"no host":                 {"GET / HTTP/1.1\r\n\r\n", 400, 0},
		"two hosts":               {"GET / HTTP/1.1\r\n" + host + "Host: b\r\n\r\n", 400, 0},
		"bare LF":                 {"GET / HTTP/1.1\n", 400, 0},
		"bare CR in a line":       {"GET / HTTP/1.1\r\n" + host + "A: b\rc: d\r\n\r\n", 400, 0},
		"folded line":             {"GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", 400, 0},
		"NUL in a value":          {"GET / HTTP/1.1\r\n" + host + "A: b\x00\r\n\r\n", 400, 0},
		"method in lower case":    {"post / HTTP/1.1\r\n" + host + "Content-Length: 0\r\n\r\n", 400, 0},
		"no version":              {"GET /\r\n" + host + "\r\n", 400, 0},
		"two spaces":              {"GET  / HTTP/1.1\r\n" + host + "\r\n", 400, 0},
		"chunk extension bare LF": {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3;x\nabc\r\n0\r\n\r\n", 400, 0},
		"chunk size signed":       {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n", 400, 0},
		"chunk size 0x":           {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400, 0},
		"chunk longer than size":  {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400, 0},
		"pipelined":               {"GET / HTTP/1.1\r\n" + host + "\r\nGET / HTTP/1.1\r\n" + host + "\r\n", 200, 2},
		"request after chunks":    {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n" + host + "\r\n", 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			s := &Server{Handler: func(context.Context, *http.Request, []byte) *http.Response {
				served.Add(1)
				return Text(http.StatusOK, "ok")
			}}
			assert.NilError(t, s.Listen("127.0.0.1:0"))
			defer s.Close()
			conn, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, err = io.WriteString(conn, c.input)
			assert.NilError(t, err)
			r := bufio.NewReader(conn)
			for range max(c.served, 1) {
				response, err := http.ReadResponse(r, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, c.status)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
			}
			if c.status == http.StatusBadRequest {
				_, err = r.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			}
			assert.Equal(t, int(served.Load()), c.served)
		})
	}
}

// Guards against a body that depends on the sizes of the network reads.
func TestBodyIsIndependentOfReadSizes(t *testing.T) {
	input := []byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;e=1\r\n world\r\n0\r\nX: y\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	for size := 1; size < len(input); size++ {
		f := framer{limits: bodyLimit(1 << 20)}
		var bodies []string
		parse := func(data []byte) error {
			if bytes.HasPrefix(data, []byte("POST")) {
				bodies = append(bodies, "")
				return nil
			}
			bodies[len(bodies)-1] += string(data)
			return nil
		}
		for rest := input; len(rest) > 0; {
			n := min(size, len(rest))
			assert.NilError(t, f.feed(parse, rest[:n]))
			rest = rest[n:]
		}
		assert.DeepEqual(t, bodies, []string{"hello world", "abc"})
	}
}

// Guards against header values that differ from those of other recipients because the
// optional whitespace around them was kept, such as an ID that no answer matches.
func TestWhitespaceAroundValuesIsRemoved(t *testing.T) {
	for name, lines := range map[string]string{
		"none":     "X-Id: a b\r\nContent-Length: 4\r\n",
		"missing":  "X-Id:a b\r\nContent-Length:4\r\n",
		"spaces":   "X-Id:   a b  \r\nContent-Length:  4  \r\n",
		"tabs":     "X-Id:\t a b\t\r\nContent-Length:\t4\t\r\n",
		"chunked":  "X-Id:\ta b \r\nTransfer-Encoding:\tchunked \r\n",
		"host too": "X-Id: a b \r\nContent-Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			got := make(chan string, 1)
			s := &Server{Handler: func(_ context.Context, r *http.Request, body []byte) *http.Response {
				got <- fmt.Sprintf("%s %q %s", r.Host, r.Header["X-Id"], body)
				return Text(http.StatusOK, "ok")
			}}
			assert.NilError(t, s.Listen("127.0.0.1:0"))
			defer s.Close()
			conn, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			body := "abcd"
			if name == "chunked" {
				body = "4\r\nabcd\r\n0\r\n\r\n"
			}
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h \t\r\n"+lines+"\r\n"+body)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, <-got, `h ["a b"] abcd`)
		})
	}
}

// FuzzHead checks that readHead and net/http agree on the framing of every header that
// both accept, and that the header for the parser has the same fields and no coding.
func FuzzHead(f *testing.F) {
	for _, lines := range []string{
		"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "A: b\r\n c\r\n", "Content-Length : 4\r\n",
		"X-Original-Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "A:\tb \r\ncontent-length: 04\r\n",
	} {
		f.Add("POST / HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n")
	}
	f.Fuzz(func(t *testing.T, text string) {
		h, err := readHead([]byte(text))
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader([]byte(text))))
		if err != nil {
			return // net/http is stricter, for example about targets that are no URL
		}
		chunked := len(r.TransferEncoding) > 0
		assert.Equal(t, h.chunked, chunked, fmt.Sprintf("%q", text))
		if !chunked {
			assert.Equal(t, int64(h.length), r.ContentLength, fmt.Sprintf("%q", text))
		}
		const length = 7
		passed, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(h.head(length))))
		assert.NilError(t, err, fmt.Sprintf("%q", text))
		assert.Equal(t, len(passed.TransferEncoding), 0)
		if h.sized {
			assert.Equal(t, passed.ContentLength, int64(length))
		}
		for _, header := range []http.Header{r.Header, passed.Header} {
			header.Del("Content-Length")
			header.Del("Trailer") // net/http removes it from a chunked request
		}
		assert.DeepEqual(t, passed.Header, r.Header)
		assert.Equal(t, passed.Method+" "+passed.RequestURI+" "+passed.Host, r.Method+" "+r.RequestURI+" "+r.Host)
	})
}
