package broken

import (
	"strings"
	"time"
)

// UploadSize is the size of a request that does not fit into the buffers of a connection to
// a server, so that it is still being sent when an early answer arrives.
const UploadSize = 6 << 20

// Body is the body of the answers that Valid returns.
const Body = "the whole body"

// Case is a server with one kind of answer.
type Case struct {
	*Server
	// Upload is set if requests need UploadSize bytes for the server to behave as it should.
	Upload bool
	// Status is that of a valid answer.
	Status int
}

// Size returns the size of the requests for the server.
func (c Case) Size() int {
	if c.Upload {
		return UploadSize
	}
	return len(Body)
}

// Broken returns servers whose answers no caller may get. The head is that of a success with
// status 200, without the empty line.
func Broken(head string) map[string]Case {
	const length = "Content-Length: 4\r\n\r\nbody"
	reset := func(size int) Case {
		return Case{Server: &Server{Answer: head + "\r\n" + strings.Repeat("x", size), Early: true, End: Reset}, Upload: true}
	}
	closed := func(answer string) Case { return Case{Server: &Server{Answer: answer, End: Close}} }
	return map[string]Case{
		"reset, empty":     reset(0),
		"reset, part":      reset(500),
		"reset, long part": reset(200_000),
		"status 000":       closed(withStatus(head, "000") + length),
		"status 099":       closed(withStatus(head, "099") + length),
		"status 101":       closed("HTTP/1.1 101 Switching Protocols\r\n\r\n" + head + length),
		"behind 000":       closed("HTTP/1.1 000 No\r\nContent-Length: 500\r\n\r\n" + head + length),
		"blank in a name":  closed(head + "Bad Name: x\r\n" + length),
		"blank behind":     closed(head + "Content-Length : 4\r\n\r\nbody and more"),
		"blank before":     closed(head + " Content-Length: 4\r\n\r\nbody and more"),
		"zero byte":        closed(head + "Ba\x00d: x\r\n" + length),
		"HTTP/2.0":         closed(strings.Replace(head, "HTTP/1.1", "HTTP/2.0", 1) + length),
		"chunks in 1.0":    closed(strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
	}
}

// Valid returns servers whose answers are unusual and have to reach callers.
func Valid(head string) map[string]Case {
	const length = "Content-Length: 14\r\n\r\n" + Body
	tooLarge := withStatus(head, "413") + length
	return map[string]Case{
		"early 413, then close": {Server: &Server{Answer: tooLarge, Early: true, End: Close}, Upload: true, Status: 413},
		"early 413, then reset": {Server: &Server{Answer: tooLarge, Early: true, End: Reset}, Upload: true, Status: 413},
		"ended by a close":      {Server: &Server{Answer: head + "\r\n" + Body, End: Close}, Upload: true, Status: 200},
		"ended by a half-close": {Server: &Server{Answer: head + "\r\n" + Body, Early: true, End: HalfClose}, Upload: true, Status: 200},
		"unknown status":        {Server: &Server{Answer: withStatus(head, "299") + length}, Status: 299},
		"after interim answers": {Server: &Server{Answer: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + length}, Status: 200},
	}
}

// silence is longer than a server needs to send a part of an answer.
const silence = 1500 * time.Millisecond

// Silent returns servers that are silent once in the middle of a valid answer.
func Silent(head string) map[string]Case {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	rest := strings.Repeat("x", 200_000)
	pause := func(before, after string) Case {
		return Case{Server: &Server{Answer: before + after, Pause: silence, PauseAt: len(before)}, Status: 200}
	}
	closed := pause(head+"\r\nthe whole", " body")
	closed.End = Close
	return map[string]Case{
		"status line":       pause(head[:len("HTTP/1.1 2")], head[len("HTTP/1.1 2"):]+"Content-Length: 14\r\n\r\n"+Body),
		"header":            pause(head+"Content-", "Length: 14\r\n\r\n"+Body),
		"end of the head":   pause(head+"Content-Length: 14\r\n\r", "\n"+Body),
		"before the body":   pause(head+"Content-Length: 14\r\n\r\n", Body),
		"body":              pause(head+"Content-Length: 14\r\n\r\nthe whole", " body"),
		"body until close":  closed,
		"before a size":     pause(head+chunked, "e\r\n"+Body+"\r\n0\r\n\r\n"),
		"size":              pause(head+chunked+"0", "e\r\n"+Body+"\r\n0\r\n\r\n"),
		"extension":         pause(head+chunked+"e;a=", "b\r\n"+Body+"\r\n0\r\n\r\n"),
		"chunk":             pause(head+chunked+"e\r\nthe whole", " body\r\n0\r\n\r\n"),
		"end of a chunk":    pause(head+chunked+"9\r\nthe whole\r", "\n5\r\n body\r\n0\r\n\r\n"),
		"between chunks":    pause(head+chunked+"9\r\nthe whole\r\n", "5\r\n body\r\n0\r\n\r\n"),
		"trailer":           pause(head+chunked+"e\r\n"+Body+"\r\n0\r\nX: ", "y\r\n\r\n"),
		"end of the answer": pause(head+chunked+"e\r\n"+Body+"\r\n0\r\n", "\r\n"),
		"interim answer":    pause("HTTP/1.1 103 Early", " Hints\r\n\r\n"+head+"Content-Length: 14\r\n\r\n"+Body),
		"behind interim":    pause("HTTP/1.1 103 Early Hints\r\n\r\n", head+"Content-Length: 14\r\n\r\n"+Body),
		"long chunk":        pause(head+chunked+"30d4e\r\n"+Body+rest, "\r\n0\r\n\r\n"),
		"within long chunk": pause(head+chunked+"30d4e\r\n"+Body+rest[:100_000], rest[100_000:]+"\r\n0\r\n\r\n"),
	}
}

func withStatus(head, status string) string { return strings.Replace(head, "200", status, 1) }
