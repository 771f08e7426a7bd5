package line

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/dialplan"
	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/settings"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
)

// A home is waited for as long as it is one: a register that stands still is found silent soon, not after the long time of a
// trunk on which nobody waits. One that says it is out of touch is left.
func TestHomeIsWaitedFor(t *testing.T) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer nl.Close()
	accepted := make(chan *trunk.Conn, 1)
	go func() {
		if nc, err := nl.Accept(); err == nil {
			if c, err := trunk.Accept(nc, nil); err == nil {
				accepted <- c
			}
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &Line{log: zerolog.Nop(), clock: engine.NewClock(), ctx: ctx}
	set := settings.Defaults()
	l.set.Store(&set)
	l.plan.Store(dialplan.Make(patch.Table{}))
	l.dir.Store(&directory.Table{})
	l.own = newOwn(l)
	l.pools = newPools(l, newBudgets(set))
	l.home = newHome(l)
	c, err := trunk.Dial(ctx, nl.Addr().String(), &wire.HelloT{Name: "line"}, nil)
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.home.follow(c, trunk.Wrap(&wire.BeatT{Touch: true}))
	}()
	far := <-accepted
	_, err = far.Receive() // its record: it follows by now
	assert.NilError(t, err)
	assert.Equal(t, c.Waits(), int64(1))
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-time.After(outOfTouch / 4):
			far.Send(&wire.BeatT{Touch: false})
		}
	}
	assert.Assert(t, !l.home.touch.Load())
}
