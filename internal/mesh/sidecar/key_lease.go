package sidecar

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// leaseSlack is by how much a key is held beyond its window, which runs from when its request was sent.
const leaseSlack = 2 * time.Second

// claimKey has the registers agree that this request, and no other of its key, may run here. nil: it may; else the answer.
func (r *inboundRequest) claimKey(ctx context.Context) *wire.ResponseT {
	in, q := r.inbound, r.request
	l := in.sidecar
	window := l.settings.Load().Bounds.KeyWindowS.Duration() + leaseSlack
	was, fresh := in.responses.begin(q.IdempotencyKey, q.Token, q.Attempt, window)
	if !fresh {
		return r.answerRepeat(was)
	}
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, time.Duration(q.TimeoutUs)*time.Microsecond/2))
	defer cancel()
	grant, err := l.controlPlane.claim(ctx, &wire.KeyLeaseRequestT{Key: q.IdempotencyKey, Token: q.Token, Attempt: q.Attempt, Holder: l.leaseHolder(), WindowUs: window.Microseconds()})
	switch {
	case err != nil:
		// It may be granted all the same, but it never ran: so that is said, and the key given back.
		r.releaseKey()
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	case grant.Granted:
		in.responses.setState(q.IdempotencyKey, keyRunning, nil)
		return nil
	}
	in.responses.markNotExecuted(q.IdempotencyKey)
	if grant.Holder == "" { // no room for more keys
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	}
	addr, _, _ := strings.Cut(grant.Holder, "/")
	if addr == l.Addr() && l.successorOf(addr) == "" { // claimed in another life of this line
		return r.answerLost()
	}
	k, err := l.upstreams.recallResponse(ctx, addr, q.IdempotencyKey)
	switch {
	case err != nil || k.OutcomeUnknown || !k.Found:
		return r.answerLost()
	case k.Running:
		return r.answerInProgress()
	case k.Status == 0: // it never ran, and its key is on the way back
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	}
	return r.replayAnswer(&wire.ResponseT{Status: k.Status, HeaderFields: k.HeaderFields, Body: k.Body, ContentLength: int64(len(k.Body))})
}

// leaseHolder is this life of the line, as claims name it: one that starts again has forgotten what it claimed.
func (l *Sidecar) leaseHolder() string { return l.Addr() + "/" + l.incarnation }

// answerRepeat answers a request whose key ran here before.
func (r *inboundRequest) answerRepeat(was keyRecord) *wire.ResponseT {
	switch {
	case was.state == keyClaiming || was.state == keyRunning:
		return r.answerInProgress()
	case was.state == keyAnswered && was.answer != nil:
		return r.replayAnswer(was.answer)
	}
	return r.answerLost()
}

// replayAnswer is the first run's answer, for another try.
func (r *inboundRequest) replayAnswer(first *wire.ResponseT) *wire.ResponseT {
	a := &wire.ResponseT{Status: first.Status, Body: first.Body, ContentLength: first.ContentLength}
	for _, f := range first.HeaderFields {
		if f.Name != headerAttemptID {
			a.HeaderFields = append(a.HeaderFields, f)
		}
	}
	a.HeaderFields = append(a.HeaderFields, &wire.HeaderFieldT{Name: headerAttemptID, Value: r.request.AttemptId})
	return a
}

func (r *inboundRequest) answerInProgress() *wire.ResponseT {
	return r.localAnswer(http.StatusConflict, "the key is at work")
}

func (r *inboundRequest) answerLost() *wire.ResponseT {
	return r.localAnswer(http.StatusBadGateway, "the key's request has run, or may have, and its answer is lost")
}

// localAnswer is an answer in the server's place.
func (r *inboundRequest) localAnswer(status int, text string) *wire.ResponseT {
	return &wire.ResponseT{Status: uint16(status), Body: []byte(text + "\n"), ContentLength: int64(len(text) + 1),
		HeaderFields: []*wire.HeaderFieldT{{Name: headerAttemptID, Value: r.request.AttemptId}, {Name: "Content-Type", Value: "text/plain; charset=utf-8"}}}
}

// releaseOwnedKey gives a key back whose request never ran.
func (r *inboundRequest) releaseOwnedKey() {
	if r.ownsKey.Load() {
		r.releaseKey()
	}
}

func (r *inboundRequest) releaseKey() {
	r.inbound.responses.markNotExecuted(r.request.IdempotencyKey)
	r.inbound.sidecar.controlPlane.release(&wire.KeyLeaseRequestT{Key: r.request.IdempotencyKey, Token: r.request.Token, Attempt: r.request.Attempt, Holder: r.inbound.sidecar.leaseHolder(), Release: true})
}

// recallResponse is what this line knows of a key, for another; of names another line that left its keys here.
func (in *inboundServer) recallResponse(key, of string) *wire.StoredResponseT {
	if of != "" {
		if t := in.responses.inheritedFor(of, key); t != nil {
			return t
		}
		return &wire.StoredResponseT{}
	}
	if x, is := in.responses.get(key); is {
		return wireRecord(&x)
	}
	return &wire.StoredResponseT{OutcomeUnknown: true}
}

// handOverResponses gives what is kept here to the heir, and says so once that has it.
func (in *inboundServer) handOverResponses(ctx context.Context, heir string) error {
	l := in.sidecar
	for rest := in.responses.export(l.settings.Load().Bounds.KeyWindowS.Duration() + leaseSlack); len(rest) > 0; {
		n, bytes := 0, 0
		for n < len(rest) && n < 1000 && bytes < 1<<20 {
			bytes += len(rest[n].Body)
			n++
		}
		c, err := l.upstreams.get(heir).connect(ctx)
		if err != nil {
			return err
		}
		if _, err := l.calls.Call(ctx, c, codec.CallHandOverKeys, codec.EncodeTable(&wire.KeyHandoverT{SourceAddr: l.Addr(), List: rest[:n]})); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// recallResponse asks another line for the answer that it keeps for a key, or its heir if that one is out for maintenance, or was.
func (s *upstreams) recallResponse(ctx context.Context, holder, key string) (*wire.StoredResponseT, error) {
	switch heir := s.sidecar.successorOf(holder); heir {
	case "":
	case s.sidecar.Addr():
		if k := s.sidecar.inbound.responses.inheritedFor(holder, key); k != nil {
			return k, nil
		}
	default:
		if k, err := s.callRecall(ctx, heir, &wire.StoredResponseT{Key: key}, holder); err == nil && k.Found {
			return k, nil
		}
	}
	return s.callRecall(ctx, holder, &wire.StoredResponseT{Key: key}, "")
}

func (s *upstreams) callRecall(ctx context.Context, addr string, q *wire.StoredResponseT, of string) (*wire.StoredResponseT, error) {
	c, err := s.get(addr).connect(ctx)
	if err != nil {
		return nil, err
	}
	t, err := s.sidecar.calls.Call(ctx, c, codec.CallStoredResponse, codec.EncodeTable(&wire.KeyHandoverT{SourceAddr: of, List: []*wire.StoredResponseT{q}}))
	if err != nil {
		return nil, err
	}
	return codec.DecodeTable(t.Body, func(p []byte) *wire.StoredResponseT { return wire.GetRootAsStoredResponse(p, 0).UnPack() })
}
