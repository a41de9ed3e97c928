package operator

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/object"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Config reads and changes the configuration; *config.Manager implements it.
type Config interface {
	Current() *config.Snapshot
	Load(ctx context.Context, v config.Version) (*config.Snapshot, error)
	History(ctx context.Context, n int) ([]config.Record, error)
	Reverted(ctx context.Context, base, v config.Version) (config.Document, error)
	Resolve(ctx context.Context, id string, base config.Version) (config.Record, bool, error)
	Submit(ctx context.Context, c config.Change) (config.Record, error)
}

var _ Config = (*config.Manager)(nil)

// Server is the state of a backend server as known to this node.
type Server struct {
	ID, Service, Region, Domain, Addr, State string
	Slots, InFlight, Queued                  int
	Latency                                  time.Duration
	// Age is the age of the newest load report.
	Age time.Duration
	// Config is the configuration version at the node beside the server.
	Config config.Version
}

// Members lists the backend servers known to this node.
type Members interface {
	Servers(ctx context.Context) []Server
}

// Candidate is one server that a decision considered, with the load figures known
// at that time.
type Candidate struct {
	Server string
	// Own is the number of requests that the deciding node had in flight at the
	// server.
	Own int
	// Load is the estimated number of requests running and queued at the server.
	Load float64
	// Expected is the expected response time. The server with the lowest is
	// chosen.
	Expected time.Duration
	// Age is the age of the newest load report, or negative if there was none.
	Age    time.Duration
	Reason string
}

// Decision is one routing decision about a request, such as a placement, retry,
// hedge or refusal.
type Decision struct {
	Request, Node, Service, Class, Tenant string
	Time                                  time.Time
	Action, Chosen, Reason, Outcome       string
	Latency                               time.Duration
	Considered                            Candidates
}

// maxCandidates limits the candidates of one decoded decision. It is higher than
// the number of servers that a decision compares, because nodes of a newer
// release may compare more.
const maxCandidates = 16

// Candidates are the servers that a decision considered.
type Candidates []Candidate

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Candidates) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[Candidate](d, maxCandidates, "candidates")
	return err
}

// Decisions reads the recorded decisions of the nodes.
type Decisions interface {
	// Recent returns the newest decisions of this node, newest first.
	Recent(ctx context.Context, n int) []Decision
	// Explain collects the decisions of all nodes about one request, and returns
	// the IDs of the nodes that did not answer.
	Explain(ctx context.Context, request string) (decisions []Decision, unresponsive []string, err error)
}

// Shard is one shard of at-most-once records.
type Shard struct {
	Service              string
	Index                int
	Epoch                uint64
	Owner, Backup, State string
	Records              int
}

// AuditInfo records the author, reason and time of a command. It is stored with a
// configuration change; a reset of a shard logs it.
type AuditInfo struct {
	ID, Author, Reason string
	Time               time.Time
}

// Shards lists and resets shards of at-most-once records.
type Shards interface {
	// Shards returns the shards of a service, or of all for an empty name.
	Shards(ctx context.Context, service string) ([]Shard, error)
	// Reset assigns a new owner and backup to the shard, although both old ones
	// may still be running. Requests for its keys are then answered with an
	// unknown outcome for one window. A second call with the same ID must have
	// no effect.
	Reset(ctx context.Context, service string, index int, info AuditInfo) error
}

// Reports measures the effect of accepted configuration changes.
type Reports interface {
	// Measure returns the windows before and after a version came into force,
	// and the IDs of the nodes that did not answer.
	Measure(ctx context.Context, v config.Version) (before, after Window, unresponsive []string, err error)
}

// Objects stores reports; object.Client implements it.
type Objects interface {
	Put(ctx context.Context, key, contentType string, body []byte) (tag string, err error)
	Get(ctx context.Context, key string) (object.Object, error)
	List(ctx context.Context, prefix string) ([]object.Info, error)
}

var _ Objects = object.Client{}
