package trunk

import (
	"sync/atomic"

	"hollyspur/internal/exchange/trunk/wire"
)

// counts are of frames, by kind.
type counts [len(purposes)]struct{ frames, bytes atomic.Int64 }

// account counts what this process has said on all its trunks, heard what it was told.
var account, heard counts

// purposes are the kinds of frames by their numbers on the wire.
var purposes = [...]string{wire.BodyNONE: "none", wire.BodyHello: "hello", wire.BodyBeat: "beat", wire.BodyRequest: "request", wire.BodyPiece: "piece",
	wire.BodyAnswer: "answer", wire.BodyCredit: "credit", wire.BodyCancel: "cancel", wire.BodyRecords: "records", wire.BodyItems: "items",
	wire.BodyMembers: "members", wire.BodyVote: "core", wire.BodyAsk: "ask", wire.BodyTold: "told", wire.BodyOuts: "outs", wire.BodyBound: "bound"}

// count notes a frame that is about to be sent.
func count(p []byte) {
	account.add(wire.GetRootAsFrame(p, 4).BodyType(), len(p))
}

func (c *counts) add(t wire.Body, bytes int) {
	if int(t) < len(c) {
		c[t].frames.Add(1)
		c[t].bytes.Add(int64(bytes))
	}
}

// Account is what this process has said on all its trunks, by kind; kinds of which it said nothing are left out.
func Account() []*wire.SaidT { return account.list() }

// Heard is what this process was told on all its trunks, in the same form.
func Heard() []*wire.SaidT { return heard.list() }

func (c *counts) list() (l []*wire.SaidT) {
	for t, n := range purposes {
		if x := (&wire.SaidT{Purpose: n, Frames: c[t].frames.Load(), Bytes: c[t].bytes.Load()}); x.Frames > 0 {
			l = append(l, x)
		}
	}
	return l
}
