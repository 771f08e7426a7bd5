package controlplane

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testfleet"
)

const testTimeout = 20 * time.Second

// newTestLink returns a link whose peer set has callbacks without effect.
func newTestLink(t *testing.T, address string) *peerLink {
	t.Helper()
	peers := &peerSet{
		ctx: t.Context(), log: zerolog.Nop(), hello: func() *wire.HelloT { return &wire.HelloT{ControlPlane: true} },
		onConnected: func(*transport.Conn) {}, onRefused: func(string) {},
	}
	return peers.link(address)
}

// listen returns a listener on loopback that is closed with the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // a test may have closed it
	return listener
}

func (l *peerLink) redialCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quickRedials
}

// A peer that accepts connections and closes them is dialled again quickly a few times, and then only after the ordinary interval. A
// peer whose connection has lasted is again dialled quickly.
func TestRedialsAreBounded(t *testing.T) {
	peer := listen(t)
	dials := make(chan bool, 64)
	go func() {
		for {
			connection, err := peer.Accept()
			if err != nil {
				return
			}
			_ = connection.Close()
			dials <- true
		}
	}()
	awaitDial := func(failure string) {
		t.Helper()
		select {
		case <-dials:
		case <-time.After(testTimeout):
			t.Fatal(failure)
		}
	}
	link := newTestLink(t, peer.Addr().String())
	link.connect()
	for range 1 + maxQuickRedials {
		awaitDial("the peer is not dialled again")
	}
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { return link.redialCount() == maxQuickRedials }))
	link.connectionEnded(0)
	assert.Equal(t, link.redialCount(), maxQuickRedials)
	link.connectionEnded(redialInterval + 1)
	awaitDial("the peer is not dialled again though its connection had lasted")
}

// A peer that is known to run is dialled without waiting for the interval after a failed dial.
func TestDialNowIgnoresTheRedialInterval(t *testing.T) {
	peer := listen(t)
	link := newTestLink(t, peer.Addr().String())
	link.noDialBefore = time.Now().Add(time.Hour)
	link.connect()
	assert.Assert(t, !link.dialing)
	link.dialNow()
	connection, err := peer.Accept()
	assert.NilError(t, err)
	assert.NilError(t, connection.Close())
}

// Only a refused dial shows that no process listens.
func TestConnectionRefused(t *testing.T) {
	peer := listen(t)
	address := peer.Addr().String()
	assert.NilError(t, peer.Close())
	_, err := net.Dial("tcp4", address)
	assert.Assert(t, isConnectionRefused(err), "%v", err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var dialer net.Dialer
	_, err = dialer.DialContext(ctx, "tcp4", address)
	assert.Assert(t, err != nil && !isConnectionRefused(err))
}

// A peer whose host refuses the connection is reported as exited.
func TestRefusedPeerIsReported(t *testing.T) {
	peer := listen(t)
	address := peer.Addr().String()
	assert.NilError(t, peer.Close())
	refused := make(chan string, 1)
	link := newTestLink(t, address)
	link.peers.onRefused = func(address string) { refused <- address }
	link.connect()
	select {
	case got := <-refused:
		assert.Equal(t, got, address)
	case <-time.After(testTimeout):
		t.Fatal("the peer is not reported")
	}
}

// While a peer is being dialled only the latest frames are kept.
func TestPendingFramesAreBounded(t *testing.T) {
	link := newTestLink(t, "")
	link.dialing = true
	for i := range maxPendingFrames + 2 {
		link.sendFrame([]byte{byte(i)})
	}
	assert.Equal(t, len(link.pending), maxPendingFrames)
	assert.Equal(t, link.pending[0][0], byte(2))
}
