package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/gossip"
	"github.com/vanillasail/vanillasail/pkg/member"
)

var secret = []byte("a secret of the test cluster")

// hub delivers datagrams between the sockets of one test.
type hub struct {
	mu      sync.Mutex
	sockets map[string]*socket
}

type datagram struct {
	data []byte
	from net.Addr
}

// socket is an in-memory UDP socket that drops packets when its queue is full.
type socket struct {
	hub   *hub
	addr  *net.UDPAddr
	queue chan datagram
}

func (h *hub) open(addr string) *socket {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sockets == nil {
		h.sockets = make(map[string]*socket)
	}
	s := &socket{hub: h, addr: net.UDPAddrFromAddrPort(addrPort(addr)), queue: make(chan datagram, 256)}
	h.sockets[addr] = s
	return s
}

func (s *socket) ReadDatagram(ctx context.Context, buf []byte) (int, net.Addr, error) {
	select {
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	case d := <-s.queue:
		return copy(buf, d.data), d.from, nil
	}
}

func (s *socket) WriteDatagram(packet []byte, addr net.Addr) (int, error) {
	s.hub.mu.Lock()
	to := s.hub.sockets[addr.String()]
	s.hub.mu.Unlock()
	if to != nil {
		select {
		case to.queue <- datagram{packet, s.addr}:
		default:
		}
	}
	return len(packet), nil
}

// rows is an in-memory implementation of gossip.Rows.
type rows struct {
	mu     sync.Mutex
	values map[string][]byte
	down   bool
	writes int
}

var errDown = errors.New("table is down")

func (r *rows) List(_ context.Context, prefix string) (map[string][]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, errDown
	}
	found := maps.Clone(r.values)
	maps.DeleteFunc(found, func(key string, _ []byte) bool { return !strings.HasPrefix(key, prefix) })
	return found, nil
}

func (r *rows) Put(_ context.Context, key string, value []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return errDown
	}
	if r.values == nil {
		r.values = make(map[string][]byte)
	}
	r.values[key] = value
	r.writes++
	return nil
}

// instance is a running node of a test.
type instance struct {
	*gossip.Node
	announcer *gossip.Announcer
	events    []member.Event
	stop      chan struct{}
	left      atomic.Bool
}

func (i *instance) MembersChanged(events []member.Event) { i.events = append(i.events, events...) }

func sealer(t testing.TB, key []byte) *gossip.Sealer {
	t.Helper()
	s, err := gossip.NewSealer(key)
	assert.NilError(t, err)
	return s
}

// launch starts a node that runs until shutdown.
func launch(t *testing.T, h *hub, r *rows, number int, seeds ...string) *instance {
	t.Helper()
	addr := fmt.Sprintf("10.0.0.%d:7000", number+1)
	own := member.Member{Ref: member.Ref{ID: fmt.Sprintf("node-%d", number), Incarnation: member.NextIncarnation(0, time.Now())}}.
		WithAddr(addr).WithRegion(fmt.Sprintf("region-%d", number%2))
	i := &instance{stop: make(chan struct{})}
	i.Node = &gossip.Node{
		Conn: h.open(addr), Sealer: sealer(t, secret), Observer: i,
		Protocol: &member.Protocol{Self: own, Seeds: seeds, Rand: rand.New(rand.NewPCG(uint64(number), 3))},
	}
	i.announcer = &gossip.Announcer{Rows: r, Node: i.Node}
	i.Start(t.Context())
	err := i.announcer.Join(t.Context(), time.Now())
	assert.Equal(t, err != nil, r.down, "join: %v", err)
	go func() {
		ticks := time.NewTicker(member.Interval)
		defer ticks.Stop()
		for {
			select {
			case <-i.stop:
				return
			case now := <-ticks.C:
				i.Tick(now)
				if !i.left.Load() {
					_ = i.announcer.Refresh(t.Context(), now)
				}
			}
		}
	}()
	return i
}

func (i *instance) shutdown() {
	close(i.stop)
	i.Stop()
}

func (r *rows) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writes
}
