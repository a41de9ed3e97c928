package capacity

import (
	"bufio"
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

// Variables that make the test binary another process, so that its memory is
// counted alone.
const (
	envRole = "CAPACITY_ROLE"
	envCert = "CAPACITY_CERT"
	envKey  = "CAPACITY_KEY"
	envCA   = "CAPACITY_CA"
)

// roles are what a process that a benchmark started does.
var roles = map[string]func() error{"peer": acceptLinks, "target": runTarget}

// kindMemory asks the accepting process for its memory in use.
const kindMemory = "memory"

// kindUse does nothing but open a link.
const kindUse = "use"

var linkSizes = []int{0, 8, 16, 32, 64}

func TestMain(m *testing.M) {
	if role := roles[os.Getenv(envRole)]; role != nil {
		if err := role(); err != nil {
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

// transport returns one that serves.
func transport(id, cert, key, ca string) (*node.Transport, error) {
	t, err := newTransport(id, cert, key, ca)
	if err != nil {
		return nil, err
	}
	return t, t.Listen("127.0.0.1:0")
}

// newTransport returns one to which controls can be added before it serves.
func newTransport(id, cert, key, ca string) (*node.Transport, error) {
	credentials := &node.Credentials{}
	if err := credentials.Replace([]byte(cert), []byte(key), []byte(ca)); err != nil {
		return nil, err
	}
	return &node.Transport{
		ID: id, Calls: fixedAnswer{}, MaxBody: 1 << 20, Credentials: credentials,
		Controls: map[string]node.ControlFunc{kindMemory: func(context.Context, string, []byte) ([]byte, error) {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(retained())), nil
		}, kindUse: func(context.Context, string, []byte) ([]byte, error) { return nil, nil }},
	}, nil
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
	addr := startRole(b, "peer", keys{string(cert), string(key), string(authority.CertPEM)})
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

// keys are the PEM texts of one process.
type keys struct{ cert, key, authority string }

// startRole starts a process, which ends when the test does, and returns the
// first line that it prints.
func startRole(t testing.TB, role string, k keys, env ...string) string {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envRole+"="+role, envCert+"="+k.cert, envKey+"="+k.key, envCA+"="+k.authority)
	cmd.Env = append(cmd.Env, env...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	assert.NilError(t, err)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	return strings.TrimSpace(line)
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
