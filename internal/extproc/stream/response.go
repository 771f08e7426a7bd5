package stream

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"cranegrade/balancer"
	"cranegrade/internal/message"
)

// handleResponseHeaders learns from the response how the attempt ended.
func (s *Stream) handleResponseHeaders(h *extproc.HttpHeaders, m *extproc.ProcessingRequest) {
	if s.response.headersSeen {
		s.violate(fmt.Errorf("%w: response headers twice", ErrOutOfOrder))
		return
	}
	if s.phase == awaitingRequest {
		// The proxy skips request headers (processing mode SKIP): there was nothing to decide.
		s.phase, s.outcomeReported = responded, true
	}
	s.response.headersSeen, s.response.ended = true, h.GetEndOfStream()
	pseudo, header, err := parseHeaders(h.GetHeaders())
	status := 0
	if err == nil {
		status = parseStatus(onlyValue(pseudo, ":status"))
	}
	if s.phase == awaitingResponse {
		s.endAttempt(status, header, m)
	}
	if s.phase != awaitingRetryDecision {
		s.passResponseHeaders(status, RetryDecision{})
	}
}

// parseStatus reads :status, three digits (RFC 9113, section 8.3.2); 0 if it is invalid.
func parseStatus(text string) int {
	status, err := strconv.Atoi(text)
	if err != nil || status < 100 || status > 999 {
		return 0
	}
	return status
}

// endAttempt reports the outcome of the attempt whose response headers came. If it failed, and the proxy is to learn
// whether it may retry, the response waits for that decision.
func (s *Stream) endAttempt(status int, header map[string][]string, m *extproc.ProcessingRequest) {
	outcome := Outcome{
		Ending:   attemptEnding(status, header, m),
		Status:   status,
		Served:   servedEndpoint(header, m),
		Answered: true,
	}
	if length := onlyValue(header, "content-length"); length != "" {
		outcome.ContentLength = message.ParseContentLength(length)
	}
	if outcome.Ending != balancer.Success && s.retryHeader != "" && !s.observabilityMode {
		outcome.AwaitsRetryDecision = true
		s.phase, s.failedStatus = awaitingRetryDecision, status
	}
	s.mayHaveRun = s.mayHaveRun || !CertainlyNotRun(outcome.Ending)
	s.reportOutcome(outcome)
}

// RetryDecision says what follows a failed attempt.
type RetryDecision struct {
	Retry      bool          // the proxy may retry the request
	Rejected   bool          // if it may not: the request was rejected, and the client may send it again later
	RetryAfter time.Duration // with Rejected; 0 means none
}

// DecideRetry gives the decision that an Outcome with AwaitsRetryDecision asked for. It is ignored if the stream has
// moved on; used says whether the proxy is sent it.
func (s *Stream) DecideRetry(d RetryDecision) (actions []Action, used bool) {
	if s.phase != awaitingRetryDecision {
		return nil, false
	}
	s.passResponseHeaders(s.failedStatus, d)
	s.handleQueued()
	return s.takeActions(), true
}

// passResponseHeaders lets the response headers go on to the client.
func (s *Stream) passResponseHeaders(status int, d RetryDecision) {
	mutation := &extproc.HeaderMutation{}
	if s.phase == awaitingResponse || s.phase == awaitingRetryDecision {
		s.mutateResponse(mutation, status, d)
	}
	s.phase = responded
	if s.observabilityMode {
		return
	}
	common := &extproc.CommonResponse{}
	if len(mutation.SetHeaders)+len(mutation.RemoveHeaders) > 0 {
		common.HeaderMutation = mutation
	}
	s.emit(Reply{&extproc.ProcessingResponse{Response: &extproc.ProcessingResponse_ResponseHeaders{
		ResponseHeaders: &extproc.HeadersResponse{Response: common},
	}}})
}

// mutateResponse corrects the response headers of an attempt where they would promise more than is true.
func (s *Stream) mutateResponse(mutation *extproc.HeaderMutation, status int, d RetryDecision) {
	retryIsHarmful := s.atMostOnce && s.mayHaveRun
	rejected := s.phase == awaitingRetryDecision && d.Rejected
	switch {
	case d.Retry:
		mutation.SetHeaders = append(mutation.SetHeaders, setHeader(s.retryHeader, "1"))
	case rejected && !retryIsHarmful:
		mutation.SetHeaders = append(mutation.SetHeaders, setHeader(":status", "503"))
		if d.RetryAfter > 0 {
			mutation.SetHeaders = append(mutation.SetHeaders, setRetryAfter(d.RetryAfter))
		}
	case retryIsHarmful && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		mutation.SetHeaders = append(mutation.SetHeaders, setHeader(":status", "502"))
		mutation.RemoveHeaders = append(mutation.RemoveHeaders, "retry-after")
	}
	if s.retryHeader != "" && !d.Retry {
		// A server must not be able to allow a retry.
		mutation.RemoveHeaders = append(mutation.RemoveHeaders, s.retryHeader)
	}
}
