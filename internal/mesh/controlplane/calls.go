package controlplane

import (
	"context"
	"net"
	"net/http"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/replica"
)

// newAPIServer are the operators' calls.
func (r *Member) newAPIServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/configuration/modify", api.NewHandler(maxRequestBytes, replica.CallTimeout,
		func(ctx context.Context, _ *http.Request, call api.RawBody) (api.Empty, error) {
			return api.Empty{}, r.modify(ctx, call)
		}))
	mux.HandleFunc("GET /v1/configuration/fetch", api.NewHandler(0, replica.CallTimeout,
		func(ctx context.Context, _ *http.Request, _ api.Empty) (config.Document, error) {
			return r.fetch(ctx)
		}))
	mux.HandleFunc("POST /v1/night", api.NewHandler(maxRequestBytes, replica.CallTimeout, atLeader(r, r.answerMaintenance)))
	mux.HandleFunc("POST /v1/rules", api.NewHandler(maxRequestBytes, replica.CallTimeout, atLeader(r, r.answerPolicy)))
	return api.NewServer(mux)
}

// modify has an operator's call agreed on, here or at the leader.
func (r *Member) modify(ctx context.Context, body []byte) error {
	c, err := config.ParseUpdate(body)
	if err != nil {
		reply := replica.ErrorReply(err)
		r.log.Info().Err(err).Msg("a call was refused")
		return api.NewError(reply.Status, string(reply.Body))
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
		return api.NewError(reply.Status, string(reply.Body))
	case <-ctx.Done():
		return api.NewError(http.StatusServiceUnavailable, "not agreed on in time; it may still be taken")
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
					got <- told{err: api.NewError(http.StatusServiceUnavailable, "no leader is known")}
					return
				}
				host, _, _ := net.SplitHostPort(lead)
				_, port, _ := net.SplitHostPort(r.settings.Load().ListenAddrs.ControlPlane)
				got <- told{err: api.Redirect("http://" + net.JoinHostPort(host, port) + hr.URL.Path)}
				return
			}
			take(call, func(a A, err error) { got <- told{a, err} })
		})
		select {
		case x := <-got:
			return x.a, x.err
		case <-ctx.Done():
			return a, api.NewError(http.StatusServiceUnavailable, "not agreed on in time; it may still be taken")
		}
	}
}

// fetch is the configuration, no older than anything acknowledged.
func (r *Member) fetch(ctx context.Context) (config.Document, error) {
	got := make(chan *config.Document, 1)
	r.post(func() {
		r.replica.Fetch(r.now(), func(set config.Document, ok bool) {
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
	return config.Document{}, api.NewError(http.StatusServiceUnavailable, "the core could not confirm it in time")
}
