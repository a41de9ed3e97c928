package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/node"
)

const (
	kindHello     = "hello"
	helloInterval = 250 * time.Millisecond
	helloTTL      = 2 * time.Second
)

// member is what a node tells about itself.
type member struct {
	ID       string `msgpack:"i"`
	Addr     string `msgpack:"a"`
	Service  string `msgpack:"s"`
	Region   string `msgpack:"r"`
	Domain   string `msgpack:"d"`
	Slots    int    `msgpack:"n"`
	Draining bool   `msgpack:"g"`
}

// members asks every seed for its state. It knows only the seeds.
type members struct {
	self func() member
	node *node.Transport

	mu    sync.Mutex
	known map[string]member
	seen  map[string]time.Time
}

func (m *members) answer(context.Context, string, []byte) ([]byte, error) {
	return msgpack.Marshal(m.self())
}

func (m *members) ask(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, helloInterval)
	defer cancel()
	reply, err := m.node.Control(ctx, node.Peer{ID: addr, Addr: addr}, kindHello, nil)
	if err != nil {
		return
	}
	var other member
	if err := msgpack.Unmarshal(reply, &other); err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known == nil {
		m.known = make(map[string]member)
		m.seen = make(map[string]time.Time)
	}
	m.known[other.ID] = other
	m.seen[other.ID] = time.Now()
}

func (m *members) peer(id string) (node.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other, ok := m.known[id]
	return node.Peer{ID: id, Addr: other.Addr}, ok
}

func (m *members) list(now time.Time) (live []member, gone []member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, other := range m.known {
		if now.Sub(m.seen[id]) > helloTTL {
			gone = append(gone, other)
			delete(m.known, id)
			continue
		}
		live = append(live, other)
	}
	return live, gone
}
