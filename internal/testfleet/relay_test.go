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

// relayedPair is a relay to an echo at machine b, whose callers say who they are in their first line.
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
	at := "127.0.0.1:0"
	assert.NilError(t, r.Listen("b", at, echo.Addr().String(), func(_ net.Addr, first *bufio.Reader) (string, error) {
		p, err := first.Peek(1)
		return string(p), err
	}))
	return r, r.listeners[0].Addr().String()
}

func dialRelay(t *testing.T, addr, word string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(relayTimeout)))
	send(t, c, word)
	return c, bufio.NewReader(c)
}

// isRefused checks that a connection is reset, as it is opened or after its first word.
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

func send(t *testing.T, c net.Conn, word string) {
	t.Helper()
	_, err := io.WriteString(c, word+"\n")
	assert.NilError(t, err)
}

func assertReceives(t *testing.T, r *bufio.Reader, word string) {
	t.Helper()
	got, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, got, word+"\n")
}

// What is sent and the end of it come through, whole and in order, and are counted by way.
func TestRelayPasses(t *testing.T) {
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

// A cut of one way holds what is sent on that way only, and only of that pair of machines; it comes once the way is whole.
func TestRelayCutsOneWay(t *testing.T) {
	for _, way := range []Direction{{"a", "b"}, {"b", "a"}} {
		r, addr := startRelay(t)
		c, in := dialRelay(t, addr, "a")
		assertReceives(t, in, "a")
		r.Set(Link{Cut: true}, way)
		send(t, c, "held")
		assert.Assert(t, Await(relayTimeout, func() bool { return r.BytesPending(way) == 5 }))
		assert.Equal(t, r.BytesPending(way.Reverse()), int64(0))
		_, other := dialRelay(t, addr, "c")
		assertReceives(t, other, "c")
		assert.Equal(t, r.BytesForwarded(Direction{"b", "a"}), int64(2), "the answer has passed a cut")
		r.Heal()
		assertReceives(t, in, "held")
		assert.Assert(t, Await(relayTimeout, func() bool { return r.BytesPending(way) == 0 }))
	}
}

// A connection that is opened during a cut is silent until the way is whole.
func TestRelayOpensInCut(t *testing.T) {
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

// A reset strikes what is open, a refusal also what comes after it; silence leaves both sides with a connection that carries nothing,
// also after the ways were healed.
func TestRelayEnds(t *testing.T) {
	r, addr := startRelay(t)
	c, in := dialRelay(t, addr, "a")
	assertReceives(t, in, "a")
	r.Reset(Direction{"b", "a"})
	_, err := in.ReadByte()
	assert.ErrorContains(t, err, "reset")

	c, in = dialRelay(t, addr, "a")
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

// A delay and a rate hold up what passes, by no less than they say; the rate is shared by a pair's connections. A schedule
// sets them in its order.
func TestRelayHoldsUp(t *testing.T) {
	r, addr := startRelay(t)
	c, in := dialRelay(t, addr, "a")
	assertReceives(t, in, "a")
	assert.NilError(t, r.PlaySteps([]LinkStep{
		{Link: Link{Cut: true}, Directions: []Direction{{"a", "b"}}},
		{At: 10 * time.Millisecond, Link: Link{Delay: 60 * time.Millisecond}, Directions: []Direction{{"a", "b"}, {"b", "a"}}},
	}))
	began := time.Now()
	send(t, c, "late")
	assertReceives(t, in, "late")
	assert.Assert(t, time.Since(began) >= 120*time.Millisecond)

	const bytes, rate = 64 << 10, 640 << 10
	r.Set(Link{}, Direction{"b", "a"})
	r.Set(Link{Rate: rate}, Direction{"a", "b"})
	c2, in2 := dialRelay(t, addr, "a")
	assertReceives(t, in2, "a")
	word := strings.Repeat("x", bytes/2)
	began = time.Now()
	send(t, c, word)
	send(t, c2, word)
	assertReceives(t, in, word)
	assertReceives(t, in2, word)
	assert.Assert(t, time.Since(began) >= time.Second*bytes/rate)
}

// A machine whose process does not listen resets what comes, and a closed relay ends all and plays no more.
func TestRelayCloses(t *testing.T) {
	r, addr := startRelay(t)
	_, in := dialRelay(t, addr, "a")
	assertReceives(t, in, "a")
	nobody, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, nobody.Close())
	assert.NilError(t, r.Listen("c", "127.0.0.1:0", nobody.Addr().String(), func(net.Addr, *bufio.Reader) (string, error) { return "a", nil }))
	assertRefused(t, r.listeners[1].Addr().String())
	r.Blackhole(Direction{"a", "b"})
	r.Close()
	_, err = in.ReadByte()
	assert.ErrorContains(t, err, "reset")
	assert.Equal(t, r.PlaySteps([]LinkStep{{At: time.Hour}}), errRelayClosed)
}
