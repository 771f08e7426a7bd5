package register

import (
	"context"
	"net"
	"net/http"

	"hollyspur/internal/exchange/control"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/mesh/replica"
)

// newAPIServer are the operators' calls.
func (r *Member) newAPIServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/configuration/modify", control.NewHandler(maxRequestBytes, replica.CallTimeout,
		func(ctx context.Context, _ *http.Request, call control.RawBody) (control.Empty, error) {
			return control.Empty{}, r.modify(ctx, call)
		}))
	mux.HandleFunc("GET /v1/configuration/fetch", control.NewHandler(0, replica.CallTimeout,
		func(ctx context.Context, _ *http.Request, _ control.Empty) (patch.Document, error) {
			return r.fetch(ctx)
		}))
	mux.HandleFunc("POST /v1/night", control.NewHandler(maxRequestBytes, replica.CallTimeout, atLeader(r, r.answerMaintenance)))
	mux.HandleFunc("POST /v1/rules", control.NewHandler(maxRequestBytes, replica.CallTimeout, atLeader(r, r.answerPolicy)))
	return control.NewServer(mux)
}

// modify has an operator's call agreed on, here or at the leader.
func (r *Member) modify(ctx context.Context, body []byte) error {
	c, err := patch.ParseUpdate(body)
	if err != nil {
		reply := replica.ErrorReply(err)
		r.log.Info().Err(err).Msg("a call was refused")
		return control.NewError(reply.Status, string(reply.Body))
	}
	done := make(chan replica.Reply, 1)
	r.post(func() {
		r.replica.ModifyParsed(r.now(), c, body, func(reply replica.Reply) { done <- reply })
	})
	select {
	case reply := <-done:
		if reply.Status == http.StatusOK {
			return nil
		}
		return control.NewError(reply.Status, string(reply.Body))
	case <-ctx.Done():
		return control.NewError(http.StatusServiceUnavailable, "not agreed on in time; it may still be taken")
	}
}

// atLeader answers a call that only the leader can, on Run's goroutine. Another register sends whoever calls there.
func atLeader[C, A any](r *Member, take func(call C, done func(A, error))) func(context.Context, *http.Request, C) (A, error) {
	return func(ctx context.Context, hr *http.Request, call C) (a A, err error) {
		type told struct {
			a   A
			err error
		}
		got := make(chan told, 1)
		r.post(func() {
			if !r.replica.IsLeader() {
				lead := r.replica.LeaderAddress()
				if lead == "" {
					got <- told{err: control.NewError(http.StatusServiceUnavailable, "no leader is known")}
					return
				}
				host, _, _ := net.SplitHostPort(lead)
				_, port, _ := net.SplitHostPort(r.settings.Load().ListenAddrs.ControlPlane)
				got <- told{err: control.Redirect("http://" + net.JoinHostPort(host, port) + hr.URL.Path)}
				return
			}
			take(call, func(a A, err error) { got <- told{a, err} })
		})
		select {
		case x := <-got:
			return x.a, x.err
		case <-ctx.Done():
			return a, control.NewError(http.StatusServiceUnavailable, "not agreed on in time; it may still be taken")
		}
	}
}

// fetch is the configuration, no older than anything acknowledged.
func (r *Member) fetch(ctx context.Context) (patch.Document, error) {
	got := make(chan *patch.Document, 1)
	r.post(func() {
		r.replica.Fetch(r.now(), func(set patch.Document, ok bool) {
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
	return patch.Document{}, control.NewError(http.StatusServiceUnavailable, "the core could not confirm it in time")
}
