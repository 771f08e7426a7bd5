package controlplane

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/rig"
)

const testTimeout = 20 * time.Second

// newTestLink is a link of a register whose own goroutine does not run.
func newTestLink(t *testing.T, addr string) *peerLink {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r := &Member{log: zerolog.Nop(), ctx: ctx, tasks: make(chan func(), 64), stopped: make(chan struct{})}
	set := settings.Defaults()
	r.settings.Store(&set)
	return &peerLink{member: r, address: addr}
}

func (l *peerLink) redialCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quickRedials
}

// A peer that takes connections and closes them is dialled again a few times at once, then no more until the ordinary pause; one
// whose connection had held is dialled again at once, whatever was before.
func TestRedialsAreBounded(t *testing.T) {
	peer, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer peer.Close()
	dials := make(chan bool, 64)
	go func() {
		for {
			c, err := peer.Accept()
			if err != nil {
				return
			}
			c.Close()
			dials <- true
		}
	}()
	l := newTestLink(t, peer.Addr().String())
	l.connect()
	for range 1 + maxQuickRedials {
		select {
		case <-dials:
		case <-time.After(testTimeout):
			t.Fatal("it is not dialled again")
		}
	}
	assert.Assert(t, rig.Await(testTimeout, func() bool { return l.redialCount() == maxQuickRedials }))
	l.connectionEnded(0)
	assert.Equal(t, l.redialCount(), maxQuickRedials)
	l.connectionEnded(redialInterval + 1)
	select {
	case <-dials:
	case <-time.After(testTimeout):
		t.Fatal("it is not dialled again though its connection had held")
	}
}

// A peer that shows that it runs is dialled without waiting for the pause after a failed dial.
func TestHastenSkipsThePause(t *testing.T) {
	peer, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer peer.Close()
	l := newTestLink(t, peer.Addr().String())
	l.noDialBefore = time.Now().Add(time.Hour)
	l.connect()
	assert.Assert(t, !l.dialing)
	l.dialNow()
	c, err := peer.Accept()
	assert.NilError(t, err)
	c.Close()
}

// Only a refused dial says that no process listens.
func TestRefusedDial(t *testing.T) {
	peer, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	peer.Close()
	_, err = net.Dial("tcp4", peer.Addr().String())
	assert.Assert(t, isConnectionRefused(err), "%v", err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var d net.Dialer
	_, err = d.DialContext(ctx, "tcp4", peer.Addr().String())
	assert.Assert(t, err != nil && !isConnectionRefused(err))
}
