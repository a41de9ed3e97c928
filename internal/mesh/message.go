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
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// message is the head of a request between nodes. Exactly one of Call, Reserve,
// Update, Entries, Fetch, Follow, Crash, Crashes and AskCrashes is set.
type message struct {
	Call *call.Request `msgpack:"c,omitempty"`
	// Reserve is a request without its body, for which a slot is to be reserved.
	Reserve *call.Request `msgpack:"r,omitempty"`
	// Ticket identifies the slot that was reserved for a Call; zero means none.
	Ticket uint64      `msgpack:"t,omitempty"`
	Update *nodeUpdate `msgpack:"n,omitempty"`
	// Entries are those of nodes of other regions, which a relay passes on.
	Entries entries `msgpack:"e,omitempty"`
	// Fetch requests the configuration.
	Fetch bool `msgpack:"f,omitempty"`
	// Follow requests the next configuration after this version; the answer waits
	// until there is one.
	Follow *uint64 `msgpack:"w,omitempty"`
	// Patch is set with Fetch and Follow by a node that accepts a patch.
	Patch *patchInfo `msgpack:"p,omitempty"`
	// Crash reports a crash of the sender's backend server.
	Crash *quarantine.Incident `msgpack:"x,omitempty"`
	// Crashes are the crashes that the sender knows, for a node that may have missed them,
	// and AskCrashes asks for those that the receiver knows.
	Crashes    quarantine.Incidents `msgpack:"i,omitempty"`
	AskCrashes bool                 `msgpack:"q,omitempty"`
	// Version is the configuration that the sender of a Call or Reserve has.
	Version uint64 `msgpack:"v,omitempty"`
}

// nodeUpdate carries the entry of the sender and its configuration version.
type nodeUpdate struct {
	Entry roster.Entry `msgpack:"e"`
	// Version is the configuration that the sender has.
	Version uint64 `msgpack:"v"`
	// PassOn asks a relay to pass the entry on to the nodes of its region. Marks are those
	// of the entries that the sender has of that region (roster.Marks), to be compared.
	PassOn bool   `msgpack:"p,omitempty"`
	Marks  []byte `msgpack:"m,omitempty"`
	// LaterStart is set in a reply to a node whose name is known with a later start,
	// because its clock has gone back since.
	LaterStart int64 `msgpack:"a,omitempty"`
	// Left is the last entry of the receiver in which its server was leaving, if the
	// sender knows of none of another server since.
	Left *roster.Entry `msgpack:"l,omitempty"`
}

// entries is a bounded list of entries.
type entries []roster.Entry

// maxEntries bounds the entries of one message.
const maxEntries = 4096

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *entries) DecodeMsgpack(d *msgpack.Decoder) error {
	list, err := wire.List[roster.Entry](d, maxEntries, "entries")
	*e = list
	return err
}

// response is the head of an answer. If Fault is not nil, there is no answer.
type response struct {
	Fault  *fault.Error `msgpack:"e,omitempty"`
	Status int          `msgpack:"s,omitempty"`
	Header http.Header  `msgpack:"h,omitempty"`
	Length int64        `msgpack:"n,omitempty"`
	Load   *call.Load   `msgpack:"l,omitempty"`
	// Ran is set when the request reached the backend server.
	Ran bool `msgpack:"r,omitempty"`
	// CallFailed is set when a call failed that the server made for the request.
	CallFailed bool `msgpack:"f,omitempty"`
	// CallMayHaveFailed is set when a request failed that may be such a call.
	CallMayHaveFailed bool `msgpack:"m,omitempty"`
	// Calls is the number of calls by service that were made for the request.
	Calls map[string]int `msgpack:"c,omitempty"`
	// SlotSummary is set at intervals for a node whose server is of the same service.
	SlotSummary slots.Summary `msgpack:"k,omitempty"`
	// Ticket identifies the slot that is reserved for the request.
	Ticket uint64      `msgpack:"t,omitempty"`
	Update *nodeUpdate `msgpack:"w,omitempty"`
	// Patch is set if the configuration in the answer is a patch.
	Patch *patchInfo `msgpack:"p,omitempty"`
	// PassedOn is set by a relay that passes the entry of an update on, and Entries are
	// those of its region that the sender of the update lacks.
	PassedOn bool    `msgpack:"y,omitempty"`
	Entries  entries `msgpack:"z,omitempty"`
	// Unknown are those of the sender's marks that the relay does not know.
	Unknown []byte `msgpack:"u,omitempty"`
	// Crashes answers AskCrashes.
	Crashes quarantine.Incidents `msgpack:"i,omitempty"`
	// Version is the configuration that the node has, and that of the answer if it is one.
	Version uint64 `msgpack:"v,omitempty"`
}

func encode(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	return raw, eris.Wrap(err, "encode a message to a peer")
}

func decodeMessage(raw []byte) (message, error) {
	var m message
	if err := wire.Unmarshal(raw, &m); err != nil {
		return m, fault.New(fault.KindBadRequest, "decode the message of a peer: %v", err).
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

// withRemainingTimes returns a copy for another node. It carries the deadline and
// the objective as remaining durations, because the clocks of hosts differ.
func withRemainingTimes(r call.Request, now time.Time) *call.Request {
	r.Timeout = r.Deadline.Sub(now)
	if !r.Objective.IsZero() {
		if r.ObjectiveTimeout = r.Objective.Sub(now); r.ObjectiveTimeout == 0 {
			r.ObjectiveTimeout = -1
		}
	}
	return &r
}
