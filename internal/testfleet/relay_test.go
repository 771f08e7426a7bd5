package testfleet

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const relayTimeout = 10 * time.Second

// startRelay starts a relay to an echo server at machine b, whose callers name their machine by the first byte that they send.
func startRelay(t *testing.T) (*Relay, string) {
	t.Helper()
	echo, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { echo.Close() })
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	r := NewRelay()
	t.Cleanup(r.Close)
	identify := func(_ net.Addr, first *bufio.Reader) (string, error) {
		name, err := first.Peek(1)
		return string(name), err
	}
	assert.NilError(t, r.Listen("b", "127.0.0.1:0", echo.Addr().String(), identify))
	return r, r.listeners[0].Addr().String()
}

// dialRelay connects through a relay and sends a line, whose first byte names the machine that connects.
func dialRelay(t *testing.T, addr, line string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(relayTimeout)))
	send(t, c, line)
	return c, bufio.NewReader(c)
}

// assertRefused checks that a connection is reset, when it is opened or after its first line.
func assertRefused(t *testing.T, addr string) {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err == nil {
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(relayTimeout)))
		if _, err = io.WriteString(c, "a\n"); err == nil {
			_, err = c.Read(make([]byte, 1))
		}
	}
	assert.ErrorContains(t, err, "reset")
}

func send(t *testing.T, c net.Conn, line string) {
	t.Helper()
	_, err := io.WriteString(c, line+"\n")
	assert.NilError(t, err)
}

func assertReceives(t *testing.T, r *bufio.Reader, line string) {
	t.Helper()
	got, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, got, line+"\n")
}

// What is sent, and its end, arrive completely and in order, and are counted by direction.
func TestRelayForwards(t *testing.T) {
	r, addr := startRelay(t)
	c, in := dialRelay(t, addr, "a")
	assertReceives(t, in, "a")
	long := strings.Repeat("x", 1<<20)
	go io.WriteString(c, long+"\n")
	assertReceives(t, in, long)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	_, err := in.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, r.BytesForwarded(Direction{"a", "b"}), int64(1<<20+3))
	assert.Equal(t, r.BytesForwarded(Direction{"b", "a"}), int64(1<<20+3))
}

// A cut of one direction holds back what is sent in that direction only, and only between that pair of machines. It arrives once the cut is
// healed.
func TestRelayCutsOneDirection(t *testing.T) {
	for _, direction := range []Direction{{"a", "b"}, {"b", "a"}} {
		r, addr := startRelay(t)
		c, in := dialRelay(t, addr, "a")
		assertReceives(t, in, "a")
		r.Set(Link{Cut: true}, direction)
		send(t, c, "held")
		assert.Assert(t, Await(relayTimeout, func() bool { return r.BytesPending(direction) == 5 }))
		assert.Equal(t, r.BytesPending(direction.Reverse()), int64(0))
		_, other := dialRelay(t, addr, "c")
		assertReceives(t, other, "c")
		assert.Equal(t, r.BytesForwarded(Direction{"b", "a"}), int64(2), "the echo has passed a cut")
		r.Heal()
		assertReceives(t, in, "held")
		assert.Assert(t, Await(relayTimeout, func() bool { return r.BytesPending(direction) == 0 }))
	}
}

// A connection that is opened during a cut is silent until the cut is healed.
func TestRelayAcceptsDuringCut(t *testing.T) {
	r, addr := startRelay(t)
	r.Set(Link{Cut: true}, Direction{"a", "b"})
	c, in := dialRelay(t, addr, "a")
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := in.ReadByte()
	assert.ErrorContains(t, err, "timeout")
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(relayTimeout)))
	r.Heal()
	assertReceives(t, in, "a")
}

// A reset ends the open connections, a refusal later ones, too. A black hole leaves both sides with a connection that carries nothing, also
// after the links are healed.
func TestRelayResetsBlackholesAndRefuses(t *testing.T) {
	r, addr := startRelay(t)
	_, in := dialRelay(t, addr, "a")
	assertReceives(t, in, "a")
	r.Reset(Direction{"b", "a"})
	_, err := in.ReadByte()
	assert.ErrorContains(t, err, "reset")

	c, in := dialRelay(t, addr, "a")
	assertReceives(t, in, "a")
	r.Blackhole(Direction{"a", "b"})
	send(t, c, "lost")
	r.Heal()
	assert.Assert(t, Await(relayTimeout, func() bool { return r.BytesPending(Direction{"a", "b"}) == 5 }))
	_, after := dialRelay(t, addr, "a")
	assertReceives(t, after, "a")
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = in.ReadByte()
	assert.ErrorContains(t, err, "timeout")

	r.Set(Link{Refuse: true}, Direction{"a", "b"})
	_, err = after.ReadByte()
	assert.ErrorContains(t, err, "reset")
	assertRefused(t, addr)
	r.Heal()
	_, in = dialRelay(t, addr, "a")
	assertReceives(t, in, "a")
}

// A delay and a rate delay what passes by no less than they say. The connections between two machines share the rate. A schedule sets links in
// its order.
func TestRelayDelaysAndLimits(t *testing.T) {
	r, addr := startRelay(t)
	c, in := dialRelay(t, addr, "a")
	assertReceives(t, in, "a")
	assert.NilError(t, r.PlaySteps([]LinkStep{
		{Link: Link{Cut: true}, Directions: []Direction{{"a", "b"}}},
		{At: 10 * time.Millisecond, Link: Link{Delay: 60 * time.Millisecond}, Directions: []Direction{{"a", "b"}, {"b", "a"}}},
	}))
	start := time.Now()
	send(t, c, "late")
	assertReceives(t, in, "late")
	assert.Assert(t, time.Since(start) >= 120*time.Millisecond)

	const bytes, rate = 64 << 10, 640 << 10
	r.Set(Link{}, Direction{"b", "a"})
	r.Set(Link{Rate: rate}, Direction{"a", "b"})
	secondConn, second := dialRelay(t, addr, "a")
	assertReceives(t, second, "a")
	line := strings.Repeat("x", bytes/2)
	start = time.Now()
	send(t, c, line)
	send(t, secondConn, line)
	assertReceives(t, in, line)
	assertReceives(t, second, line)
	assert.Assert(t, time.Since(start) >= time.Second*bytes/rate)
}

// Connections to a machine whose process does not listen are reset, and a closed relay resets all connections and stops its schedule.
func TestRelayCloses(t *testing.T) {
	r, addr := startRelay(t)
	_, in := dialRelay(t, addr, "a")
	assertReceives(t, in, "a")
	nobody, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, nobody.Close())
	identify := func(net.Addr, *bufio.Reader) (string, error) { return "a", nil }
	assert.NilError(t, r.Listen("c", "127.0.0.1:0", nobody.Addr().String(), identify))
	assertRefused(t, r.listeners[1].Addr().String())
	r.Blackhole(Direction{"a", "b"})
	r.Close()
	_, err = in.ReadByte()
	assert.ErrorContains(t, err, "reset")
	assert.Equal(t, r.PlaySteps([]LinkStep{{At: time.Hour}}), errRelayClosed)
}
