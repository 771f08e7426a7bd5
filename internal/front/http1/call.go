package http1

import (
	"sync/atomic"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// call is a request that an engine is handling. It implements engine.Receiver.
type call struct {
	engine.Call
	answers chan callEvent // has space for a streamed answer and the final one, so that the engine never blocks
	gone    atomic.Bool    // nobody reads answers any more
	upload  *upload        // the rest of a long body; nil means none
}

// callEvent is what the engine reports: a streamed answer that begins, or the final one.
type callEvent struct {
	stream *message.Stream // nil means the final one
	answer engine.Answer
}

// ResponseStarted implements engine.Receiver.
func (c *call) ResponseStarted(r engine.Reply) {
	st, is := r.(*message.Stream)
	if !is {
		r.Release()
		return
	}
	c.answers <- callEvent{stream: st}
	if c.gone.Load() {
		c.discard()
	}
}

// Ended implements engine.Receiver.
func (c *call) Ended(a engine.Answer) {
	c.answers <- callEvent{answer: a}
	if c.gone.Load() {
		c.discard()
	}
}

// abandon ends a call whose answer nobody will read.
func (c *call) abandon(p *pool.Pool) {
	p.Engine().CallerGone(&c.Call)
	c.gone.Store(true)
	c.discard()
}

// discard releases answers that nobody will read. Both sides call it after their own step
// (the engine after adding an answer, the front after setting gone), so that the later one finds them.
func (c *call) discard() {
	for {
		select {
		case event := <-c.answers:
			if event.stream != nil {
				event.stream.Release()
			}
			if event.answer.Reply != nil {
				event.answer.Reply.Release()
			}
		default:
			return
		}
	}
}
