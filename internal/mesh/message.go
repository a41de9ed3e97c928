package mesh

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// message is the head of what one node sends another. Exactly one of Call,
// Reserve, News, Fetch, Follow and Crash is set.
type message struct {
	Call *call.Request `msgpack:"c,omitempty"`
	// Reserve is a request without its body, which wants a slot first.
	Reserve *call.Request `msgpack:"r,omitempty"`
	// Ticket names the slot that was reserved for a Call; zero means none.
	Ticket uint64 `msgpack:"t,omitempty"`
	News   *news  `msgpack:"n,omitempty"`
	// Fetch asks for the configuration.
	Fetch bool `msgpack:"f,omitempty"`
	// Follow asks for the next configuration after this version, once there is one.
	Follow *uint64 `msgpack:"w,omitempty"`
	// Crash tells of a crash of the sender's backend server.
	Crash *quarantine.Incident `msgpack:"x,omitempty"`
	// Version is the configuration that the sender of a Call or Reserve has.
	Version uint64 `msgpack:"v,omitempty"`
}

// news tells a peer what changed.
type news struct {
	Entry roster.Entry `msgpack:"e"`
	// Version is the configuration that the sender has.
	Version uint64 `msgpack:"v"`
	// Ahead is set in a reply to a node whose name is known with a later start: its
	// clock has gone back since.
	Ahead int64 `msgpack:"a,omitempty"`
}

// response is the head of an answer. A non-nil Fault says that there is none.
type response struct {
	Fault  *fault.Error `msgpack:"e,omitempty"`
	Status int          `msgpack:"s,omitempty"`
	Header http.Header  `msgpack:"h,omitempty"`
	Length int64        `msgpack:"n,omitempty"`
	Load   *call.Load   `msgpack:"l,omitempty"`
	// Ran tells whether the request has reached the backend server.
	Ran bool `msgpack:"r,omitempty"`
	// Learned is set now and then for a node whose server is of the same service.
	Learned slots.Summary `msgpack:"k,omitempty"`
	// Ticket names the slot that is kept for the request.
	Ticket uint64 `msgpack:"t,omitempty"`
	News   *news  `msgpack:"w,omitempty"`
	// Version is the configuration that the node has.
	Version uint64 `msgpack:"v,omitempty"`
}

func encode(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	return raw, eris.Wrap(err, "encode a message to a peer")
}

func decodeMessage(raw []byte) (message, error) {
	var m message
	if err := msgpack.Unmarshal(raw, &m); err != nil {
		return m, fault.New(fault.KindBadRequest, "message of a peer: %v", err).
			WithRemedy("run the same version on all nodes")
	}
	for _, r := range [...]*call.Request{m.Call, m.Reserve} {
		if r == nil {
			continue
		}
		now := time.Now()
		r.Deadline = now.Add(r.Timeout)
		if r.ObjectiveTimeout != 0 {
			r.Objective = now.Add(r.ObjectiveTimeout)
		}
	}
	return m, nil
}

// withTimesLeft returns a copy that travels: it tells what is left of the times,
// because clocks differ.
func withTimesLeft(r call.Request, now time.Time) *call.Request {
	r.Timeout = r.Deadline.Sub(now)
	if !r.Objective.IsZero() {
		if r.ObjectiveTimeout = r.Objective.Sub(now); r.ObjectiveTimeout == 0 {
			r.ObjectiveTimeout = -1
		}
	}
	return &r
}
