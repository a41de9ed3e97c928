package broken

import "strings"

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

func withStatus(head, status string) string { return strings.Replace(head, "200", status, 1) }
