package register

import (
	"context"
	"net"
	"net/http"

	"hollyspur/internal/exchange/control"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/mesh/replica"
)

// handlers are the operators' calls.
func (r *Register) handlers() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/configuration/modify", control.Handle(mostBody, replica.AnswerWithin,
		func(ctx context.Context, _ *http.Request, call control.Raw) (control.None, error) {
			return control.None{}, r.takeModify(ctx, call)
		}))
	mux.HandleFunc("GET /v1/configuration/fetch", control.Handle(0, replica.AnswerWithin,
		func(ctx context.Context, _ *http.Request, _ control.None) (patch.Set, error) { return r.fetch(ctx) }))
	mux.HandleFunc("POST /v1/night", control.Handle(mostBody, replica.AnswerWithin, atLeader(r, r.takeNight)))
	mux.HandleFunc("POST /v1/rules", control.Handle(mostBody, replica.AnswerWithin, atLeader(r, r.takeRules)))
	return control.Serve(mux)
}

// takeModify has an operator's call agreed on, here or at the leader.
func (r *Register) takeModify(ctx context.Context, body []byte) error {
	c, err := patch.ReadCall(body)
	if err != nil {
		reply := replica.StatusOf(err)
		r.log.Info().Err(err).Msg("a call was refused")
		return control.Fault(reply.Status, string(reply.Body))
	}
	done := make(chan replica.Reply, 1)
	r.Do(func() {
		r.replica.ModifyRead(r.now(), c, body, func(reply replica.Reply) { done <- reply })
	})
	select {
	case reply := <-done:
		if reply.Status == http.StatusOK {
			return nil
		}
		return control.Fault(reply.Status, string(reply.Body))
	case <-ctx.Done():
		return control.Fault(http.StatusServiceUnavailable, "not agreed on in time; it may still be taken")
	}
}

// atLeader answers a call that only the leader can, on Run's goroutine. Another register sends whoever calls there.
func atLeader[C, A any](r *Register, take func(call C, done func(A, error))) func(context.Context, *http.Request, C) (A, error) {
	return func(ctx context.Context, hr *http.Request, call C) (a A, err error) {
		type told struct {
			a   A
			err error
		}
		got := make(chan told, 1)
		r.Do(func() {
			if !r.replica.Leads() {
				lead := r.replica.LeaderAddress()
				if lead == "" {
					got <- told{err: control.Fault(http.StatusServiceUnavailable, "no leader is known")}
					return
				}
				host, _, _ := net.SplitHostPort(lead)
				_, port, _ := net.SplitHostPort(r.set.Load().ListenAddrs.ControlPlane)
				got <- told{err: control.Elsewhere("http://" + net.JoinHostPort(host, port) + hr.URL.Path)}
				return
			}
			take(call, func(a A, err error) { got <- told{a, err} })
		})
		select {
		case x := <-got:
			return x.a, x.err
		case <-ctx.Done():
			return a, control.Fault(http.StatusServiceUnavailable, "not agreed on in time; it may still be taken")
		}
	}
}

// fetch is the configuration, no older than anything acknowledged.
func (r *Register) fetch(ctx context.Context) (patch.Set, error) {
	got := make(chan *patch.Set, 1)
	r.Do(func() {
		r.replica.Fetch(r.now(), func(set patch.Set, ok bool) {
			if !ok {
				got <- nil
				return
			}
			got <- &set
		})
	})
	select {
	case s := <-got:
		if s != nil {
			return *s, nil
		}
	case <-ctx.Done():
	}
	return patch.Set{}, control.Fault(http.StatusServiceUnavailable, "the core could not confirm it in time")
}
