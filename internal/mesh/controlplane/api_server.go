package controlplane

import (
	"context"
	"net"
	"net/http"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/replica"
)

// maxRequestBytes is the size of the largest request body.
const maxRequestBytes = 4 << 20

// Paths of the operators' API. The former paths are served until the next release, since members of the
// previous release know no others.
const (
	PathModify            = "/v1/configuration/modify"
	PathFetch             = "/v1/configuration/fetch"
	PathMaintenance       = "/v1/maintenance"
	PathPolicy            = "/v1/policy"
	FormerPathMaintenance = "/v1/night"
	FormerPathPolicy      = "/v1/rules"
)

// Texts of errors that operators see, in addition to those of package replica.
const (
	textNotCommitted = "not committed in time; it may still be"
	textNotConfirmed = "the leader could not be confirmed by a quorum in time"
)

// newAPIServer returns the server of the operators' API.
func newAPIServer(m *Member) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathModify, api.NewHandler(maxRequestBytes, replica.CallTimeout, m.modify))
	mux.HandleFunc("GET "+PathFetch, api.NewHandler(0, replica.CallTimeout, m.fetch))
	maintenance := api.NewHandler(maxRequestBytes, replica.CallTimeout, atLeader(m, m.maintenance.answer))
	policies := api.NewHandler(maxRequestBytes, replica.CallTimeout, atLeader(m, m.policies.answer))
	for _, path := range []string{PathMaintenance, FormerPathMaintenance} {
		mux.HandleFunc("POST "+path, maintenance)
	}
	for _, path := range []string{PathPolicy, FormerPathPolicy} {
		mux.HandleFunc("POST "+path, policies)
	}
	return api.NewServer(mux)
}

// modify handles a configuration change, which is proposed here or forwarded to the leader. It returns once the change is committed.
func (m *Member) modify(ctx context.Context, _ *http.Request, body api.RawBody) (api.Empty, error) {
	call, err := config.ParseUpdate(body)
	if err != nil {
		reply := replica.ErrorReply(err)
		m.log.Info().Err(err).Int("status", reply.Status).Msg("configuration change rejected")
		return api.Empty{}, api.NewError(reply.Status, string(reply.Body))
	}
	done := make(chan replica.Reply, 1)
	m.loop.post(func() {
		m.replica.ModifyParsed(m.clock.now(), call, body, func(reply replica.Reply) { done <- reply })
	})
	select {
	case reply := <-done:
		if reply.Status == http.StatusOK {
			return api.Empty{}, nil
		}
		return api.Empty{}, api.NewError(reply.Status, string(reply.Body))
	case <-ctx.Done():
		return api.Empty{}, api.NewError(http.StatusServiceUnavailable, textNotCommitted)
	}
}

// fetch returns the configuration, which includes every change that was acknowledged before the call.
func (m *Member) fetch(ctx context.Context, _ *http.Request, _ api.Empty) (config.Document, error) {
	done := make(chan replica.FetchResult, 1)
	m.loop.post(func() {
		m.replica.Fetch(m.clock.now(), func(fetched replica.FetchResult) { done <- fetched })
	})
	select {
	case fetched := <-done:
		if fetched.Confirmed {
			return fetched.Document, nil
		}
	case <-ctx.Done():
	}
	return config.Document{}, api.NewError(http.StatusServiceUnavailable, textNotConfirmed)
}

// handlerFunc is a function that api.NewHandler turns into an HTTP handler.
type handlerFunc[Request, Response any] func(ctx context.Context, httpRequest *http.Request, request Request) (Response, error)

// apiResult is the answer to one request of an operator.
type apiResult[Response any] struct {
	response Response
	err      error // nil, or an *api.Error with the status to answer with
}

// atLeader returns a handler for a request that only the leader can answer. It runs answer on the loop's goroutine. A member that does not
// lead redirects the caller to the leader.
func atLeader[Request, Response any](m *Member, answer func(Request, func(apiResult[Response]))) handlerFunc[Request, Response] {
	return func(ctx context.Context, httpRequest *http.Request, request Request) (Response, error) {
		done := make(chan apiResult[Response], 1)
		m.loop.post(func() {
			if err := m.redirectToLeader(httpRequest.URL.Path); err != nil {
				done <- apiResult[Response]{err: err}
				return
			}
			answer(request, func(result apiResult[Response]) { done <- result })
		})
		select {
		case result := <-done:
			return result.response, result.err
		case <-ctx.Done():
			return *new(Response), api.NewError(http.StatusServiceUnavailable, textNotCommitted)
		}
	}
}

// redirectToLeader returns an error that redirects a caller to the leader, or nil if this member leads. All members serve operators on the
// same port.
func (m *Member) redirectToLeader(path string) error {
	if m.replica.IsLeader() {
		return nil
	}
	leader := m.replica.LeaderAddress()
	if leader == "" {
		return api.NewError(http.StatusServiceUnavailable, replica.TextNoLeaderKnown)
	}
	host, _, _ := net.SplitHostPort(leader)
	_, port, _ := net.SplitHostPort(m.settings.Load().ListenAddrs.ControlPlane)
	return api.Redirect("http://" + net.JoinHostPort(host, port) + path)
}
