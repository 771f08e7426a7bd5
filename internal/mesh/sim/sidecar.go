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

// Times of a sidecar, equal to those of package sidecar.
const (
	releaseRetryInterval = 150 * time.Millisecond // between two attempts to release a lease
	sidecarCallTimeout   = time.Second
	leaseRetryInterval   = 30 * time.Millisecond // between two requests for one lease
	leaseTimeout         = time.Second           // after which a request is given up that has no lease
	keyWindow            = 8 * time.Second       // in which a key runs once
	windowSlack          = 2 * time.Second       // by which a lease lasts longer than the key's window
	recordInterval       = time.Second           // between two announcements of the record
)

// Shape of the load of keyed requests.
const (
	meanRequestInterval = 150 * time.Millisecond // on average, at each sidecar
	keyNames            = 30                     // few, so that requests meet
	releaseShare        = 0.15                   // of the granted leases are released without a run
)

// sidecar simulates a sidecar: it follows the member that package memberselection selects, holds the configuration that it receives,
// and runs keyed requests once it has the leases of their keys.
type sidecar struct {
	*process
	stopped      bool
	controlPlane controlPlaneConnection
	items        config.Table
	record       uint64 // sequence of its latest record
}

// newSidecar returns a sidecar that has not begun.
func newSidecar(w *World, name string) *sidecar {
	return &sidecar{process: w.newProcess(name, "10.0.1."+name[len("sidecar"):]+":7000")}
}

// begin starts the process, which has no state from its last incarnation.
func (s *sidecar) begin() {
	if s.up || s.removed {
		return
	}
	s.beginIncarnation()
	s.items = config.Table{}
	s.controlPlane = controlPlaneConnection{
		sidecar:  s,
		members:  map[memberselection.ConnID]*memberConnection{},
		selector: memberselection.New(s.now(), s.world.replicaAddresses()),
	}
	s.controlPlane.performActions()
	s.requestLoop()
	s.recordLoop()
}

// hasQuorumContact reports whether the member that the sidecar follows is in contact with a quorum.
func (s *sidecar) hasQuorumContact() bool {
	if !s.up {
		return false
	}
	reachable, _ := s.controlPlane.selector.Reachable()
	return reachable
}

// mayBegin reports whether requests that need the control plane may be started.
func (s *sidecar) mayBegin() bool {
	reachable, until := s.controlPlane.selector.Reachable()
	return reachable || s.now() < until
}

// mergeItems merges items that a member has sent.
func (s *sidecar) mergeItems(items []config.Item) {
	var updated []config.Item
	s.items, updated = s.items.Merge(items)
	for _, item := range updated {
		active, _ := s.items.Get(item.Key)
		s.world.history.Record(history.ActiveVersion{
			At:          s.world.now,
			Process:     s.name,
			Incarnation: s.incarnation,
			InContact:   s.hasQuorumContact(),
			ItemVersion: itemVersion(active),
		})
	}
}

// recordLoop announces the record regularly.
func (s *sidecar) recordLoop() {
	s.after(recordInterval, func() {
		s.announceRecord()
		s.recordLoop()
	})
}

// announceRecord announces this sidecar's server to the member that it follows.
func (s *sidecar) announceRecord() {
	s.record++
	if m := s.controlPlane.current(); m != nil {
		m.side.send(directory.ToWire([]directory.Record{{
			Node:        s.name,
			Incarnation: s.incarnation,
			Sequence:    s.record,
			Addr:        s.address,
			Service:     "service0",
			ServerID:    s.name,
			State:       directory.ServerReady,
		}}))
	}
}

// keyedRequest is a request that the server runs once the sidecar has the lease of its key.
type keyedRequest struct {
	key      string
	token    string
	begun    time.Duration // time of the world
	deadline time.Duration // by the sidecar's clock
}

// requestLoop begins a keyed request from time to time.
func (s *sidecar) requestLoop() {
	s.after(s.world.between(meanRequestInterval/10, 2*meanRequestInterval), func() {
		if !s.stopped && s.mayBegin() {
			w := s.world
			s.controlPlane.countWaiting(1)
			s.requestLease(&keyedRequest{
				key:      fmt.Sprintf("key%d", w.random.IntN(keyNames)),
				token:    fmt.Sprintf("%s-%d", s.name, w.id()),
				begun:    w.now,
				deadline: s.now() + leaseTimeout,
			})
		}
		s.requestLoop()
	})
}

// holder returns how leases name this incarnation.
func (s *sidecar) holder() string { return fmt.Sprintf("%s/%d", s.address, s.incarnation) }

// requestLease requests the lease of a request's key, repeatedly until the deadline.
func (s *sidecar) requestLease(request *keyedRequest) {
	retry := func() {
		if s.now() >= request.deadline {
			s.leaseAnswered(request, history.Unknown, "")
			return
		}
		s.after(leaseRetryInterval, func() { s.requestLease(request) })
	}
	connection := s.controlPlane.current()
	if connection == nil {
		retry()
		return
	}
	body := encodeLeaseRequests(&wire.KeyLeaseRequestT{
		Key:      request.key,
		Token:    request.token,
		Holder:   s.holder(),
		WindowUs: (keyWindow + windowSlack).Microseconds(),
	})
	timeout := max(0, request.deadline-s.now())
	connection.calls.call(s.process, connection.side, timeout, codec.CallLeaseKeys, body, func(reply replica.Reply) {
		if reply.Status != http.StatusOK {
			retry()
			return
		}
		results, err := codec.DecodeTable(reply.Body, unpackLeaseResults)
		if err != nil || len(results.List) != 1 {
			retry()
			return
		}
		if s.now() >= request.deadline {
			s.leaseAnswered(request, history.Unknown, "")
			return
		}
		s.decide(request, results.List[0])
	})
}

func unpackLeaseResults(table []byte) *wire.KeyLeaseResultsT {
	return wire.GetRootAsKeyLeaseResults(table, 0).UnPack()
}

func encodeLeaseRequests(requests ...*wire.KeyLeaseRequestT) []byte {
	return codec.EncodeTable(&wire.KeyLeaseRequestsT{List: requests})
}

// decide runs a request whose lease was granted, or releases the lease.
func (s *sidecar) decide(request *keyedRequest, result *wire.KeyLeaseResultT) {
	w := s.world
	if !result.Granted {
		s.leaseAnswered(request, history.Refused, result.Holder)
		return
	}
	s.leaseAnswered(request, history.Acknowledged, s.holder())
	if w.chance(releaseShare) {
		s.release(&wire.KeyLeaseRequestT{Key: request.key, Token: request.token, Holder: s.holder(), Release: true})
		return
	}
	w.history.Record(history.Run{At: w.now, Server: s.name, Key: request.key, Window: keyWindow, Request: request.token})
	w.trace("run", s.name, request.key, []byte(request.token))
}

// leaseAnswered records the outcome of a request for a lease.
func (s *sidecar) leaseAnswered(request *keyedRequest, outcome history.Outcome, holder string) {
	s.controlPlane.countWaiting(-1)
	s.world.history.Record(history.Claim{
		Call:   s.callSince(request.begun, outcome),
		Key:    request.key,
		Window: keyWindow,
		Holder: holder,
	})
}

// release releases a lease, repeatedly until that is acknowledged.
func (s *sidecar) release(lease *wire.KeyLeaseRequestT) {
	retry := func() { s.after(releaseRetryInterval, func() { s.release(lease) }) }
	connection := s.controlPlane.current()
	if connection == nil {
		retry()
		return
	}
	body := encodeLeaseRequests(lease)
	connection.calls.call(s.process, connection.side, sidecarCallTimeout, codec.CallLeaseKeys, body, func(r replica.Reply) {
		if r.Status != http.StatusOK {
			retry()
		}
	})
}

// stop ends the process.
func (s *sidecar) stop(power bool) {
	if s.up {
		s.endIncarnation(!power)
	}
}
