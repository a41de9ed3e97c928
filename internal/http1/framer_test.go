package http1

import (
	"fmt"
	"strings"
	"testing"

	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// sentRequest is a request in HTTP/1.1 and the expected result of parsing it.
type sentRequest struct {
	text, want string
}

// deceptiveHeaders contain text that also occurs in the headers that declare a body.
var deceptiveHeaders = []string{
	"X-Original-Transfer-Encoding: chunked",
	"X-Original-Content-Length: 5",
	"X-Seen: Transfer-Encoding: chunked",
	"X-Seen: Content-Length: 5",
	"Transfer-Encoding-Before: chunked",
	"Trailer: Content-Length",
}

func drawRequest(t *rapid.T, i int) sentRequest {
	// Bodies that look like the end of a header or like a request reveal a parser
	// that confuses bodies with headers.
	body := strings.Repeat(rapid.SampledFrom([]string{"", "x", "\r\n\r\n", "GET /stolen HTTP/1.1\r\nHost: a\r\n\r\n", strings.Repeat("y", 1000)}).Draw(t, "body"),
		rapid.IntRange(1, 90).Draw(t, "times"))
	head := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\n", i)
	for range rapid.IntRange(0, 2).Draw(t, "extra") {
		head += rapid.SampledFrom(deceptiveHeaders).Draw(t, "header") + "\r\n"
	}
	want := fmt.Sprintf("/%d %s", i, body)
	switch rapid.SampledFrom([]string{"length", "chunks", "none"}).Draw(t, "kind") {
	case "length":
		return sentRequest{fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), want}
	case "chunks":
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		for rest := body; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
			text += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		return sentRequest{text + "0\r\n\r\n", want}
	default:
		return sentRequest{fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i), fmt.Sprintf("/%d ", i)}
	}
}

// splitText splits a text at random positions, often close to the end of a header.
func splitText(t *rapid.T, text string) (all [][]byte) {
	for text != "" {
		n := len(text)
		switch rapid.SampledFrom([]string{"whole", "anywhere", "header"}).Draw(t, "cut") {
		case "anywhere":
			n = rapid.IntRange(1, len(text)).Draw(t, "piece")
		case "header":
			n = min(n, max(1, strings.Index(text, string(headEnd))+rapid.IntRange(0, len(headEnd)).Draw(t, "end")))
		}
		all = append(all, []byte(text[:n]))
		text = text[n:]
	}
	return all
}

// requests holds the requests that the parser has completed.
type requests struct {
	nbhttp.EmptyProcessor
	framer *framer
	uris   []string
	bodies [][]byte
}

func (p *requests) OnURL(_ *nbhttp.Parser, uri string) error {
	p.uris = append(p.uris, uri)
	return nil
}

func (p *requests) OnComplete(*nbhttp.Parser) { p.bodies = append(p.bodies, p.framer.takeBody()) }

// clearingAllocator overwrites memory that the parser frees, so that the test fails
// if a body still refers to it.
type clearingAllocator struct{ mempool.Allocator }

func (p clearingAllocator) Free(buf *[]byte) {
	clear(*buf)
	p.Allocator.Free(buf)
}

// clearFreedMemory installs a clearingAllocator for the duration of the test.
func clearFreedMemory(t *testing.T) {
	pool := mempool.DefaultMemPool
	mempool.DefaultMemPool = clearingAllocator{pool}
	t.Cleanup(func() { mempool.DefaultMemPool = pool })
}

func bodyLimit(n int) func() *Limits {
	l := Limits{Body: n}.withDefaults()
	return func() *Limits { return &l }
}

// parseRequests parses pieces of input and returns the URI and body of each request.
func parseRequests(t assert.TestingT, engine *nbhttp.Engine, pieces ...[]byte) (got []string) {
	var p requests
	p.framer = &framer{Processor: &p, limits: bodyLimit(100_000)}
	parser := nbhttp.NewParser(nil, engine, p.framer, false, nil)
	for _, data := range pieces {
		assert.NilError(t, p.framer.feed(parser.Parse, data))
	}
	assert.Equal(t, len(p.bodies), len(p.uris))
	for i, uri := range p.uris {
		got = append(got, uri+" "+string(p.bodies[i]))
	}
	return got
}

// Guards against a request that is split wrongly if a network read ends at a certain
// byte, such as between the last two bytes of the header.
func TestRequestsSplitAtEveryByte(t *testing.T) {
	clearFreedMemory(t)
	const text = "POST /0 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nfirst" +
		"POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n" +
		"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
	engine := nbhttp.NewEngine(nbhttp.Config{ReadLimit: defaultHeader})
	for i := range text {
		got := parseRequests(t, engine, []byte(text[:i]), []byte(text[i:]))
		assert.DeepEqual(t, got, []string{"/0 first", "/1 second", "/2 "})
	}
}

// Guards against a request that ends in the wrong place, so that a part of its body runs
// as another request, because a header looks like the one that declares the body.
func TestHeadersDoNotChangeFraming(t *testing.T) {
	engine := nbhttp.NewEngine(nbhttp.Config{ReadLimit: defaultHeader})
	const body = "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	framings := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	}
	for name, end := range framings {
		for _, header := range deceptiveHeaders {
			for place, head := range map[string]string{"before": header + "\r\n" + end, "after": strings.Replace(end, "\r\n", "\r\n"+header+"\r\n", 1)} {
				t.Run(name+" "+place+" "+header, func(t *testing.T) {
					got := parseRequests(t, engine, []byte("POST /whole HTTP/1.1\r\nHost: a\r\n"+head+"GET /next HTTP/1.1\r\nHost: a\r\n\r\n"))
					assert.DeepEqual(t, got, []string{"/whole " + body, "/next "})
				})
			}
		}
	}
}

// Guards against requests on one connection that are split wrongly or whose bodies
// are overwritten by later input, for any content and framing of the bodies and
// any sizes of the network reads.
func TestRequestsOnOneConnection(t *testing.T) {
	clearFreedMemory(t)
	engine := nbhttp.NewEngine(nbhttp.Config{ReadLimit: 100_000 + defaultHeader})
	rapid.Check(t, func(t *rapid.T) {
		var want []string
		text := ""
		for i := range rapid.IntRange(1, 4).Draw(t, "requests") {
			r := drawRequest(t, i)
			want, text = append(want, r.want), text+r.text
		}
		got := parseRequests(t, engine, splitText(t, text)...)
		assert.Equal(t, len(got), len(want))
		for i := range got {
			assert.Assert(t, got[i] == want[i], "%.80q, want %.80q", got[i], want[i])
		}
	})
}
