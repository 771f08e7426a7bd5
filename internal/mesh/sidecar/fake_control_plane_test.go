package sidecar

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// fakeControlPlane stands in for the control plane: it serves items, records and key leases, and always has a leader.
type fakeControlPlane struct {
	addr string

	mu            sync.Mutex // guards below
	items         *wire.ItemsT
	seenAs        map[string]string // by a sidecar's address: the address that the directory shows to the others, e.g. of a relay
	records       map[string]*wire.RecordT
	conns         map[*transport.Conn]bool
	store         *idempotency.Store
	overrideGrant func(idempotency.LeaseRequest, idempotency.LeaseResult) idempotency.LeaseResult // injected fault, or nil
	// leaseDelay delays the replies to lease requests until it is closed; nil for no delay. With delayRequests the requests themselves are applied only
	// then.
	leaseDelay    chan struct{}
	delayRequests bool
}

// startFakeControlPlane starts a fake control plane with the configuration items of a JSON text.
func startFakeControlPlane(t testing.TB, text string) *fakeControlPlane {
	t.Helper()
	items, err := config.ParseItems([]byte(text))
	assert.NilError(t, err)
	r := &fakeControlPlane{
		items: config.ItemsToWire(items), seenAs: map[string]string{}, records: map[string]*wire.RecordT{},
		conns: map[*transport.Conn]bool{}, store: idempotency.New(),
	}
	r.items.Complete, r.items.Index = true, 1
	r.addr = listenAndServe(t, func(accepted net.Conn) {
		if c, err := transport.Accept(accepted, func() *wire.HeartbeatT { return &wire.HeartbeatT{QuorumContact: true} }); err == nil {
			r.serve(c)
		}
	})
	return r
}

// serve handles the messages of a sidecar until its connection ends.
func (r *fakeControlPlane) serve(c *transport.Conn) {
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	c.Send(&wire.HeartbeatT{QuorumContact: true})
	r.broadcast()
	for {
		m, err := c.Receive()
		if err != nil {
			break
		}
		switch v := m.Value.(type) {
		case *wire.RecordsT:
			r.mu.Lock()
			for _, x := range v.List {
				r.records[x.Addr] = x
			}
			r.mu.Unlock()
			r.broadcast()
		case *wire.CallT:
			r.reply(c, v)
		}
	}
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// reply answers a call. If leaseDelay is set, the reply to a lease request is delayed until it is closed.
func (r *fakeControlPlane) reply(c *transport.Conn, a *wire.CallT) {
	r.mu.Lock()
	delay, delayRequests := r.leaseDelay, r.delayRequests
	r.mu.Unlock()
	if delay == nil || a.Kind != codec.CallLeaseKeys {
		c.Send(&wire.CallReplyT{Id: a.Id, Status: http.StatusOK, Body: r.answer(a)})
		return
	}
	var body []byte
	if !delayRequests {
		body = r.answer(a)
	}
	go func() {
		<-delay
		if delayRequests {
			body = r.answer(a)
		}
		c.Send(&wire.CallReplyT{Id: a.Id, Status: http.StatusOK, Body: body})
	}()
}

// broadcast sends the records of all sidecars to each connected sidecar.
func (r *fakeControlPlane) broadcast() {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := &wire.RecordsT{}
	for addr, x := range r.records {
		y := *x
		if as := r.seenAs[addr]; as != "" {
			y.Addr = as
		}
		all.List = append(all.List, &y)
	}
	for c := range r.conns {
		c.Send(all)
	}
}

// answer returns the body of the reply to a call.
func (r *fakeControlPlane) answer(a *wire.CallT) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch a.Kind {
	case codec.CallItems:
		return codec.EncodeTable(r.items)
	case codec.CallActivePolicy:
		return codec.EncodeTable(&wire.ActivePolicyT{})
	case codec.CallLeaseKeys:
		out := &wire.KeyLeaseResultsT{}
		for _, c := range wire.GetRootAsKeyLeaseRequests(a.Body, 0).UnPack().List {
			claim := idempotency.LeaseRequest{
				Key: c.Key, Token: c.Token, Attempt: c.Attempt, Holder: c.Holder, Release: c.Release,
				Window: time.Duration(c.WindowUs) * time.Microsecond,
			}
			g := r.store.Apply(time.Second, claim)
			if r.overrideGrant != nil {
				g = r.overrideGrant(claim, g)
			}
			out.List = append(out.List, &wire.KeyLeaseResultT{Granted: g.Granted, Holder: g.Current.Holder, Token: g.Current.Token})
		}
		return codec.EncodeTable(out)
	}
	return nil
}
