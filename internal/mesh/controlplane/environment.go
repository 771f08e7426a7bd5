package controlplane

import (
	"context"
	"time"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/codec"
)

// environment is what the replica acts through. All of it is called on Run's goroutine.
type environment struct{ member *Member }

func (e environment) Send(address string, m raft.Message) {
	e.member.link(address).send(raftwire.MessageToWire(m))
}

func (e environment) Connect(address string) { e.member.link(address).connect() }

func (e environment) CallReplica(address string, kind byte, body []byte, done func(replica.Reply)) {
	l := e.member.link(address)
	go func() {
		ctx, cancel := context.WithTimeout(e.member.ctx, api.TimeoutFor(replica.CallTimeout, len(body)))
		defer cancel()
		reply := replica.Unavailable("")
		if t, err := l.call(ctx, kind, body); err == nil {
			reply = replica.Reply{Status: int(t.Status), Body: t.Body}
		} else {
			reply = replica.Unavailable(err.Error())
		}
		e.member.post(func() { done(reply) })
	}()
}

// Save writes until it is written, or the process is to end: without the disk this register may say nothing that rests on it.
func (e environment) Save(ready raft.Ready, last uint64) bool {
	r := e.member
	for tries := 0; ; tries++ {
		err := r.store.Save(ready, last)
		if err == nil {
			r.diskFault.Store(nil)
			return true
		}
		text := err.Error()
		r.diskFault.Store(&text)
		if tries%10 == 0 {
			r.log.Error().Err(err).Int("tries", tries).Msg("the vault can't be written; nothing is acknowledged meanwhile")
		}
		select {
		case <-time.After(diskRetryInterval):
		case <-r.terminating:
			return false
		}
		if err := r.store.Reopen(); err != nil && tries%10 == 0 {
			r.log.Error().Err(err).Msg("the vault can't be opened again")
		}
	}
}

func (e environment) Compact(s raft.Snapshot, kept uint64) {
	if err := e.member.store.Compact(s, kept); err != nil {
		e.member.log.Error().Err(err).Msg("the vault can't be written")
		e.member.store.Reopen()
	}
}

func (e environment) BroadcastToSidecars(message any) {
	frame := codec.Encode(message)
	for c := range e.member.sidecars {
		c.SendFrame(frame)
	}
}

func (e environment) BroadcastToReplicas(message any) {
	frame := codec.Encode(message)
	e.member.mu.Lock()
	defer e.member.mu.Unlock()
	for _, l := range e.member.links {
		l.sendFrame(frame)
	}
}
