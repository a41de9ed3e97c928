package relay

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a flow that forwards no replies any more because the target was not
// listening yet when the first packet was sent.
func TestFlowOutlivesRefusedPackets(t *testing.T) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	addr := target.LocalAddr().(*net.UDPAddr)
	assert.NilError(t, target.Close())
	r := &Relay{Target: addr.String()}
	assert.NilError(t, r.StartUDP("127.0.0.1:0"))
	t.Cleanup(r.Close)
	peer, err := net.Dial("udp", r.UDPAddr())
	assert.NilError(t, err)
	defer peer.Close()
	for range 3 {
		_, err = peer.Write([]byte("refused"))
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // the refusal arrives
	}

	target, err = net.ListenUDP("udp", addr)
	assert.NilError(t, err)
	defer target.Close()
	_, err = peer.Write([]byte("request"))
	assert.NilError(t, err)
	assert.NilError(t, target.SetDeadline(time.Now().Add(10*time.Second)))
	buf := make([]byte, maxPacket)
	n, from, err := target.ReadFromUDP(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "request")
	_, err = target.WriteToUDP([]byte("reply"), from)
	assert.NilError(t, err)
	assert.NilError(t, peer.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, err = peer.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "reply")
}
