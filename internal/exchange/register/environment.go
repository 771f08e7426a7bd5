package register

import (
	"context"
	"time"

	"hollyspur/internal/exchange/control"
	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/vault"
	"hollyspur/internal/mesh/replica"
)

// environment is what the replica acts through. All of it is called on Run's goroutine.
type environment struct{ r *Register }

func (e environment) Send(address string, m core.Message) {
	e.r.link(address).send(vault.WireMessage(m))
}

func (e environment) Connect(address string) { e.r.link(address).conn() }

func (e environment) AskReplica(address string, kind byte, body []byte, done func(replica.Reply)) {
	l := e.r.link(address)
	go func() {
		ctx, cancel := context.WithTimeout(e.r.ctx, control.TimeFor(replica.AnswerWithin, len(body)))
		defer cancel()
		reply := replica.Unavailable("")
		if t, err := l.ask(ctx, kind, body); err == nil {
			reply = replica.Reply{Status: int(t.Status), Body: t.Body}
		} else {
			reply = replica.Unavailable(err.Error())
		}
		e.r.Do(func() { done(reply) })
	}()
}

// Save writes until it is written, or the process is to end: without the disk this register may say nothing that rests on it.
func (e environment) Save(ready core.Ready, last uint64) bool {
	r := e.r
	for tries := 0; ; tries++ {
		err := r.vault.Save(ready, last)
		if err == nil {
			r.trouble.Store(nil)
			return true
		}
		text := err.Error()
		r.trouble.Store(&text)
		if tries%10 == 0 {
			r.log.Error().Err(err).Int("tries", tries).Msg("the vault can't be written; nothing is acknowledged meanwhile")
		}
		select {
		case <-time.After(vaultRest):
		case <-r.ending:
			return false
		}
		if err := r.vault.Reopen(); err != nil && tries%10 == 0 {
			r.log.Error().Err(err).Msg("the vault can't be opened again")
		}
	}
}

func (e environment) Compact(s core.Snapshot, kept uint64) {
	if err := e.r.vault.Compact(s, kept); err != nil {
		e.r.log.Error().Err(err).Msg("the vault can't be written")
		e.r.vault.Reopen()
	}
}

func (e environment) TellSidecars(message any) {
	frame := trunk.Encode(message)
	for c := range e.r.lines {
		c.SendFrame(frame)
	}
}

func (e environment) TellReplicas(message any) {
	frame := trunk.Encode(message)
	e.r.mu.Lock()
	defer e.r.mu.Unlock()
	for _, l := range e.r.links {
		l.sendFrame(frame)
	}
}
