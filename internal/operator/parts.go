package operator

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/object"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Config holds and changes the configuration; *config.Keeper implements it.
type Config interface {
	Current() *config.Snapshot
	Load(ctx context.Context, v config.Version) (*config.Snapshot, error)
	History(ctx context.Context, n int) ([]config.Record, error)
	Reverted(ctx context.Context, base, v config.Version) (config.Document, error)
	Resolve(ctx context.Context, id string, base config.Version) (config.Record, bool, error)
	Submit(ctx context.Context, c config.Change) (config.Record, error)
}

var _ Config = (*config.Manager)(nil)

// Server is a backend server as this node sees it.
type Server struct {
	ID, Service, Region, Domain, Addr, State string
	Slots, InFlight, Queued                  int
	Latency                                  time.Duration
	// Age is the age of the newest report.
	Age time.Duration
	// Config is the version in force at the node beside the server.
	Config config.Version
}

// Members lists the servers that this node knows.
type Members interface {
	Servers(ctx context.Context) []Server
}

// Candidate is one server that a decision considered, with the numbers known
// at that moment.
type Candidate struct {
	Server string
	// Own is the number of requests that the deciding node had in flight there.
	Own int
	// Load is the estimated number of requests running and queued there.
	Load float64
	// Expected is the time in which an answer was expected; the lowest wins.
	Expected time.Duration
	// Age is the age of the newest load report, or negative when there was none.
	Age    time.Duration
	Reason string
}

// Decision is one step of a request: a placement, retry, hedge or refusal.
type Decision struct {
	Request, Node, Service, Class, Tenant string
	Time                                  time.Time
	Action, Chosen, Reason, Outcome       string
	Latency                               time.Duration
	Considered                            Candidates
}

// maxCandidates is above the servers that a decision compares, for newer nodes
// that compare more.
const maxCandidates = 16

// Candidates are the servers that a decision considered.
type Candidates []Candidate

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Candidates) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[Candidate](d, maxCandidates, "candidates")
	return err
}

// Decisions reads the ring buffers of decisions.
type Decisions interface {
	// Recent returns the newest decisions of this node, newest first.
	Recent(ctx context.Context, n int) []Decision
	// Explain asks all nodes for the decisions about one request, and names the
	// nodes that did not answer.
	Explain(ctx context.Context, request string) (decisions []Decision, silent []string, err error)
}

// Shard is one shard of at-most-once records.
type Shard struct {
	Service              string
	Index                int
	Epoch                uint64
	Owner, Backup, State string
	Records              int
}

// AuditInfo says who commands something, when and why. The part that obeys keeps it
// with the effect.
type AuditInfo struct {
	ID, Author, Reason string
	Time               time.Time
}

// Shards lists and resets shards of at-most-once records.
type Shards interface {
	// Shards returns the shards of a service, or of all for an empty name.
	Shards(ctx context.Context, service string) ([]Shard, error)
	// Reset gives the shard a new owner and backup although both old ones may
	// still run. Every key is then answered with an unknown outcome for one
	// window. An order with the ID of one that was obeyed before has no further
	// effect.
	Reset(ctx context.Context, service string, index int, o AuditInfo) error
}

// Reports measures the effect of accepted changes.
type Reports interface {
	// Measure returns the windows before and after a version came into force,
	// and names the nodes that did not answer.
	Measure(ctx context.Context, v config.Version) (before, after Window, silent []string, err error)
}

// Objects keeps reports; object.Client implements it.
type Objects interface {
	Put(ctx context.Context, key, contentType string, body []byte) (tag string, err error)
	Get(ctx context.Context, key string) (object.Object, error)
	List(ctx context.Context, prefix string) ([]object.Info, error)
}

var _ Objects = object.Client{}
