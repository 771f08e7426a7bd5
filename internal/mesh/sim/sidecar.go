package sim

import (
	"fmt"
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/history"
	"cranegrade/internal/mesh/memberselection"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Times of a sidecar, as the sidecar in production has them.
const (
	askAgain    = 150 * time.Millisecond
	askWithin   = time.Second
	claimAgain  = 30 * time.Millisecond
	claimWithin = time.Second
	keyWindow   = 8 * time.Second
	windowSlack = 2 * time.Second
	recordEvery = time.Second
)

// What keyed requests there are.
const (
	requestEvery = 150 * time.Millisecond // on average, at each sidecar
	keyNames     = 30                     // few, so that requests meet
	releaseShare = 0.15                   // of those granted that never run
)

// sidecar follows a home replica as internal/mesh/follower decides, holds the configuration that it is told, and runs keyed
// requests once it is granted their keys.
type sidecar struct {
	*process
	stopped      bool
	controlPlane controlPlaneConnection
	items        config.Table
	record       uint64 // number of its latest record
}

func newSidecar(w *World, name string) *sidecar {
	return &sidecar{process: w.newProcess(name, "10.0.1."+name[len("sidecar"):]+":7000")}
}

// begin starts a life, which knows nothing of the one before.
func (s *sidecar) begin() {
	if s.up || s.removed {
		return
	}
	s.beginIncarnation()
	s.items = config.Table{}
	s.controlPlane = controlPlaneConnection{sidecar: s, members: map[memberselection.ConnID]*memberConnection{}, decider: memberselection.New(s.now(), s.world.replicaAddresses())}
	s.controlPlane.carryOutAll()
	s.requestLoop()
	s.recordLoop()
}

// inTouch says whether the home says that it is in touch.
func (s *sidecar) inTouch() bool {
	if !s.up {
		return false
	}
	reachable, _ := s.controlPlane.decider.Reachable()
	return reachable
}

// mayBegin says whether requests that need the control plane may be begun.
func (s *sidecar) mayBegin() bool {
	reachable, until := s.controlPlane.decider.Reachable()
	return reachable || s.now() < until
}

// takeItems merges items that it is told.
func (s *sidecar) takeItems(items []config.Item) {
	var raised []config.Item
	s.items, raised = s.items.Merge(items)
	for _, i := range raised {
		held, _ := s.items.Get(i.Key)
		s.world.history.Record(history.ActiveVersion{At: s.world.now, Process: s.name, Incarnation: s.incarnation, InContact: s.inTouch(), ItemVersion: itemVersion(held)})
	}
}

func (s *sidecar) recordLoop() {
	s.after(recordEvery, func() {
		s.tellRecord()
		s.recordLoop()
	})
}

// tellRecord tells the home of this sidecar's server.
func (s *sidecar) tellRecord() {
	s.record++
	if m := s.controlPlane.current(); m != nil {
		m.end.send(directory.ToWire([]directory.Record{{Node: s.name, Incarnation: s.incarnation, Sequence: s.record, Addr: s.address, Service: "service0", ServerID: s.name, State: directory.ServerReady}}))
	}
}

// keyedRequest is one whose key this sidecar claims before its server runs it.
type keyedRequest struct {
	key, ticket string
	begun       time.Duration // of the world
	deadline    time.Duration // of the sidecar's clock
}

func (s *sidecar) requestLoop() {
	s.after(s.world.between(requestEvery/10, 2*requestEvery), func() {
		if !s.stopped && s.mayBegin() {
			w := s.world
			s.controlPlane.wait(1)
			s.claim(&keyedRequest{key: fmt.Sprintf("key%d", w.random.IntN(keyNames)), ticket: fmt.Sprintf("%s-%d", s.name, w.id()), begun: w.now,
				deadline: s.now() + claimWithin})
		}
		s.requestLoop()
	})
}

func (s *sidecar) holder() string { return fmt.Sprintf("%s/%d", s.address, s.incarnation) }

// claim claims the key of a request, again and again while there is time.
func (s *sidecar) claim(q *keyedRequest) {
	again := func() {
		if s.now() >= q.deadline {
			s.claimed(q, history.Unknown, "")
			return
		}
		s.after(claimAgain, func() { s.claim(q) })
	}
	home := s.controlPlane.current()
	if home == nil {
		again()
		return
	}
	body := claimBody(&wire.KeyLeaseRequestT{Key: q.key, Token: q.ticket, Holder: s.holder(), WindowUs: (keyWindow + windowSlack).Microseconds()})
	home.calls.call(s.process, home.end, max(0, q.deadline-s.now()), codec.CallLeaseKeys, body, func(r replica.Reply) {
		if r.Status != http.StatusOK {
			again()
			return
		}
		g, err := codec.DecodeTable(r.Body, func(p []byte) *wire.KeyLeaseResultsT { return wire.GetRootAsKeyLeaseResults(p, 0).UnPack() })
		if err != nil || len(g.List) != 1 {
			again()
			return
		}
		if s.now() >= q.deadline {
			s.claimed(q, history.Unknown, "")
			return
		}
		s.decide(q, g.List[0])
	})
}

func claimBody(l ...*wire.KeyLeaseRequestT) []byte {
	return codec.EncodeTable(&wire.KeyLeaseRequestsT{List: l})
}

// decide runs a request whose key was granted, or gives the key back.
func (s *sidecar) decide(q *keyedRequest, g *wire.KeyLeaseResultT) {
	w := s.world
	if !g.Granted {
		s.claimed(q, history.Refused, g.Holder)
		return
	}
	s.claimed(q, history.Acknowledged, s.holder())
	if w.chance(releaseShare) {
		s.release(&wire.KeyLeaseRequestT{Key: q.key, Token: q.ticket, Holder: s.holder(), Release: true})
		return
	}
	w.history.Record(history.Run{At: w.now, Server: s.name, Key: q.key, Window: keyWindow, Request: q.ticket})
	w.trace("run", s.name, q.key, []byte(q.ticket))
}

func (s *sidecar) claimed(q *keyedRequest, outcome history.Outcome, holder string) {
	s.controlPlane.wait(-1)
	s.world.history.Record(history.Claim{Call: history.Call{Process: s.name, Begin: q.begun, Return: s.world.now, Outcome: outcome}, Key: q.key,
		Window: keyWindow, Holder: holder})
}

// release gives a key back, until that is taken.
func (s *sidecar) release(c *wire.KeyLeaseRequestT) {
	again := func() { s.after(askAgain, func() { s.release(c) }) }
	home := s.controlPlane.current()
	if home == nil {
		again()
		return
	}
	home.calls.call(s.process, home.end, askWithin, codec.CallLeaseKeys, claimBody(c), func(r replica.Reply) {
		if r.Status != http.StatusOK {
			again()
		}
	})
}

// stop ends the life.
func (s *sidecar) stop(power bool) {
	if s.up {
		s.endIncarnation(!power)
	}
}
