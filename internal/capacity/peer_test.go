package capacity

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/node"
)

// Variables that make the test binary the accepting end of links, so that the
// memory of each end is counted in a process of its own.
const (
	envPeer = "CAPACITY_PEER"
	envCert = "CAPACITY_CERT"
	envKey  = "CAPACITY_KEY"
	envCA   = "CAPACITY_CA"
)

// kindMemory asks the accepting process for its memory in use.
const kindMemory = "memory"

var linkSizes = []int{0, 8, 16, 32, 64}

func TestMain(m *testing.M) {
	if os.Getenv(envPeer) != "" {
		if err := acceptLinks(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// acceptLinks prints its address and serves until its input is closed.
func acceptLinks() error {
	t, err := transport("accepting", os.Getenv(envCert), os.Getenv(envKey), os.Getenv(envCA))
	if err != nil {
		return err
	}
	fmt.Println(t.Addr())
	var end string
	_, _ = fmt.Scanln(&end)
	return nil
}

func transport(id, cert, key, ca string) (*node.Transport, error) {
	credentials := &node.Credentials{}
	if err := credentials.Replace([]byte(cert), []byte(key), []byte(ca)); err != nil {
		return nil, err
	}
	t := &node.Transport{
		ID: id, Calls: fixedAnswer{}, MaxBody: 1 << 20, Credentials: credentials,
		Controls: map[string]node.ControlFunc{kindMemory: func(context.Context, string, []byte) ([]byte, error) {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(retained())), nil
		}},
	}
	return t, t.Listen("127.0.0.1:0")
}

// BenchmarkLinks measures the memory of each end of idle connections between
// nodes that have carried one exchange.
func BenchmarkLinks(b *testing.B) {
	// ends keeps outgoing and accepted memory by size, measured together.
	ends := make(map[int][2]float64)
	for i, name := range []string{"outgoing", "accepted"} {
		b.Run(name, func(b *testing.B) {
			report(b, "B/link", linkSizes, func(b *testing.B, n int) float64 {
				if _, done := ends[n]; !done || i == 0 {
					ends[n] = linkEnds(b, n)
				}
				return ends[n][i]
			})
		})
	}
}

func linkEnds(b *testing.B, n int) (ends [2]float64) {
	authority, err := node.NewAuthority("capacity", time.Hour)
	assert.NilError(b, err)
	cert, key, err := authority.Issue("node", time.Hour)
	assert.NilError(b, err)
	addr := startPeer(b, string(cert), string(key), string(authority.CertPEM))
	t, err := transport("outgoing", string(cert), string(key), string(authority.CertPEM))
	assert.NilError(b, err)
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = t.Close(ctx)
	}()
	// One link more than n is always open: that of the readings.
	accepted := peerMemory(b, t, addr, 0)
	ends[0] = growth(func() any {
		for i := range n {
			peerMemory(b, t, addr, i+1)
		}
		return t
	})
	ends[1] = peerMemory(b, t, addr, 0) - accepted
	assert.Equal(b, t.Links(), n+1)
	return ends
}

// startPeer starts the accepting process; it ends when the benchmark does.
func startPeer(b *testing.B, cert, key, ca string) string {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envPeer+"=1", envCert+"="+cert, envKey+"="+key, envCA+"="+ca)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	assert.NilError(b, err)
	out, err := cmd.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, cmd.Start())
	b.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	var addr string
	_, err = fmt.Fscanln(out, &addr)
	assert.NilError(b, err)
	return strings.TrimSpace(addr)
}

// peerMemory asks over the link with the number, which it opens if necessary.
func peerMemory(b *testing.B, t *node.Transport, addr string, link int) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := t.Control(ctx, node.Peer{ID: fmt.Sprintf("p%d", link), Addr: addr}, kindMemory, nil)
	assert.NilError(b, err)
	assert.Equal(b, len(reply), 8)
	return math.Float64frombits(binary.BigEndian.Uint64(reply))
}
