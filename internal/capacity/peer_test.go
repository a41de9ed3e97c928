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

// Environment variables that give the test binary another role in a separate process,
// so that its memory is measured alone.
const (
	envRole = "CAPACITY_ROLE"
	envCert = "CAPACITY_CERT"
	envKey  = "CAPACITY_KEY"
	envCA   = "CAPACITY_CA"
)

// processRoles holds the main functions of the processes that benchmarks start, by
// role.
var processRoles = map[string]func() error{"peer": acceptLinks, "target": runTarget}

// kindMemory is the kind of a control message that returns the memory in use.
const kindMemory = "memory"

// kindNoOp is the kind of a control message that only opens a link.
const kindNoOp = "use"

var linkSizes = []int{0, 8, 16, 32, 64}

func TestMain(m *testing.M) {
	if role := processRoles[os.Getenv(envRole)]; role != nil {
		if err := role(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// acceptLinks is the main function of the role peer. It prints the address of a
// transport and accepts links until standard input is closed.
func acceptLinks() error {
	t, err := listeningTransport("accepting", os.Getenv(envCert), os.Getenv(envKey), os.Getenv(envCA))
	if err != nil {
		return err
	}
	fmt.Println(t.Addr())
	var end string
	_, _ = fmt.Scanln(&end)
	return nil
}

// listeningTransport returns a transport that listens on the loopback address.
func listeningTransport(id, cert, key, ca string) (*node.Transport, error) {
	t, err := newTransport(id, cert, key, ca)
	if err != nil {
		return nil, err
	}
	return t, t.Listen("127.0.0.1:0")
}

// newTransport returns a transport that does not listen yet, so that handlers of
// control messages can be added.
func newTransport(id, cert, key, ca string) (*node.Transport, error) {
	credentials := &node.Credentials{}
	if err := credentials.Replace([]byte(cert), []byte(key), []byte(ca)); err != nil {
		return nil, err
	}
	return &node.Transport{
		ID: id, Calls: fixedAnswer{}, MaxBody: 1 << 20, Credentials: credentials,
		Controls: map[string]node.ControlFunc{kindMemory: func(context.Context, string, []byte) ([]byte, error) {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(memoryInUse())), nil
		}, kindNoOp: func(context.Context, string, []byte) ([]byte, error) { return nil, nil }},
	}, nil
}

// BenchmarkLinks measures the memory of both ends of idle connections between nodes
// after one exchange of messages.
func BenchmarkLinks(b *testing.B) {
	// ends holds the memory of outgoing and accepted links by their number, because
	// both are measured together.
	ends := make(map[int][2]float64)
	for i, name := range []string{"outgoing", "accepted"} {
		b.Run(name, func(b *testing.B) {
			report(b, "B/link", linkSizes, func(b *testing.B, n int) float64 {
				if _, done := ends[n]; !done || i == 0 {
					ends[n] = linkMemory(b, n)
				}
				return ends[n][i]
			})
		})
	}
}

func linkMemory(b *testing.B, n int) (ends [2]float64) {
	authority, err := node.NewAuthority("capacity", time.Hour)
	assert.NilError(b, err)
	cert, key, err := authority.Issue("node", time.Hour)
	assert.NilError(b, err)
	addr := startProcess(b, "peer", keys{string(cert), string(key), string(authority.CertPEM)})
	t, err := listeningTransport("outgoing", string(cert), string(key), string(authority.CertPEM))
	assert.NilError(b, err)
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = t.Close(ctx)
	}()
	// One more link than n is open: control messages use it to measure the accepting
	// process.
	accepted := peerMemory(b, t, addr, 0)
	ends[0] = memoryGrowth(func() any {
		for i := range n {
			peerMemory(b, t, addr, i+1)
		}
		return t
	})
	ends[1] = peerMemory(b, t, addr, 0) - accepted
	assert.Equal(b, t.Links(), n+1)
	return ends
}

// keys holds the certificates and the private key of one process in PEM form.
type keys struct{ cert, key, authority string }

// startProcess starts a process with a role and returns the first line that it
// prints. The process ends with the test.
func startProcess(t testing.TB, role string, k keys, env ...string) string {
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

// peerMemory returns the memory in use of the process at addr. It asks over the link
// with the number, which is opened if necessary.
func peerMemory(b *testing.B, t *node.Transport, addr string, link int) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := t.Control(ctx, node.Peer{ID: fmt.Sprintf("p%d", link), Addr: addr}, kindMemory, nil)
	assert.NilError(b, err)
	assert.Equal(b, len(reply), 8)
	return math.Float64frombits(binary.BigEndian.Uint64(reply))
}
