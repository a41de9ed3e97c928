package store

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against a store that sends bytes without end which are no reply, and holds the
// node up, fills its memory or makes a write of unknown effect look undone.
func TestEndlessRepliesAreBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	// maxSent is what fits into the limit of a header and the socket buffers.
	const maxSent = 1 << 20
	for name, text := range map[string][2]string{
		"status line":      {"HTTP/1.1 200 ", "x"},
		"header line":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":     {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"chunk extension":  {chunked + "1;", "x"},
		"digits of a size": {chunked, "0"},
		"trailer lines":    {chunked + "0\r\n", "X: x\r\n"},
	} {
		for speed, pause := range map[string]time.Duration{"fast": 0, "drip": 5 * time.Millisecond} {
			for method, kind := range map[string]fault.Kind{http.MethodGet: fault.KindStoreDown, http.MethodPut: fault.KindWriteUnknown} {
				t.Run(name+"/"+speed+"/"+method, func(t *testing.T) {
					t.Parallel()
					l, err := net.Listen("tcp", "127.0.0.1:0")
					assert.NilError(t, err)
					defer l.Close()
					sent, cause := make(chan int, 1), error(nil)
					go func() {
						n := 0
						n, cause = sendEndless(l, text, pause)
						sent <- n
					}()
					e := Endpoint{Base: "http://" + l.Addr().String(), Timeout: 2 * time.Second}
					_, err = e.Do(t.Context(), Request{Method: method, Path: "/object/x"})
					// A status of a write is sufficient, even if the body is cut short.
					if !strings.Contains(text[0], "\r\n\r\n") || method == http.MethodGet {
						assert.Assert(t, fault.Is(err, kind), "%v", err)
					}
					n := <-sent
					assert.Assert(t, !errors.Is(cause, os.ErrDeadlineExceeded), "the connection stayed open")
					assert.Assert(t, n < maxSent, "%d bytes were sent", n)
				})
			}
		}
	}
}

// sendEndless accepts a connection and sends text until it is closed, byte by byte if
// there is a pause. It returns the number of bytes.
func sendEndless(l net.Listener, text [2]string, pause time.Duration) (int, error) {
	c, err := l.Accept()
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = c.Read(make([]byte, 4096))
	n, err := io.WriteString(c, text[0])
	all := strings.Repeat(text[1], 1+4096/len(text[1]))
	for i := 0; err == nil; i++ {
		part := all
		if pause > 0 {
			part = all[i%len(all):][:1]
			time.Sleep(pause)
		}
		_, err = io.WriteString(c, part)
		n += len(part)
	}
	return n, err
}
