package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
)

// Defaults of the router filter.
const (
	defaultRouteTimeout = 15 * time.Second
	retryBackoffBase    = 25 * time.Millisecond
	maxBackoffDoublings = 3
)

// routeRequest is the router filter: time-outs, attempts, and the headers that are added and removed.
func (p *Proxy) routeRequest(ctx context.Context, vh *routev3.VirtualHost, route *routev3.Route, r *request) *response {
	action := route.GetRoute()
	timeout := defaultRouteTimeout
	if action.GetTimeout() != nil {
		timeout = action.GetTimeout().AsDuration()
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	policy := action.GetRetryPolicy()
	if policy == nil {
		policy = vh.GetRetryPolicy()
	}
	setAttemptHeaders(ctx, vh, r, 1)
	r.headers.add(route.GetRequestHeadersToAdd(), r.headers, "")
	r.headers.add(vh.GetRequestHeadersToAdd(), r.headers, "")
	r.headers.remove(route.GetRequestHeadersToRemove()...)
	r.headers.remove(vh.GetRequestHeadersToRemove()...)
	resp, attempts := p.sendAttempts(ctx, vh, p.clusters[action.GetCluster()], policy, r)
	if vh.GetIncludeAttemptCountInResponse() {
		resp.headers.set("x-envoy-attempt-count", strconv.Itoa(attempts))
	}
	if resp.details == "" { // headers are not added to a local reply
		resp.headers.add(route.GetResponseHeadersToAdd(), r.headers, resp.host)
		resp.headers.add(vh.GetResponseHeadersToAdd(), r.headers, resp.host)
	}
	resp.headers.remove(route.GetResponseHeadersToRemove()...)
	resp.headers.remove(vh.GetResponseHeadersToRemove()...)
	return resp
}

// sendAttempts sends a request as often as the retry policy says. It returns the last response and the number of attempts.
func (p *Proxy) sendAttempts(
	ctx context.Context, vh *routev3.VirtualHost, c *cluster, policy *routev3.RetryPolicy, r *request,
) (resp *response, attempts int) {
	limit := maxAttempts(policy)
	for attempt := 1; ; attempt++ {
		if attempt > 1 {
			setAttemptHeaders(ctx, vh, r, attempt)
		}
		resp = c.sendAttempt(ctx, r, policy)
		if attempt >= limit || ctx.Err() != nil || !shouldRetry(policy, resp) {
			return resp, attempt
		}
		// The default back-off: exponential, with full jitter.
		backoff := retryBackoffBase << min(attempt-1, maxBackoffDoublings)
		select {
		case <-time.After(time.Duration(rand.Int64N(int64(backoff)))):
		case <-ctx.Done():
		}
	}
}

// maxAttempts is the number of attempts that a retry policy allows; num_retries is 1 by default.
func maxAttempts(policy *routev3.RetryPolicy) int {
	switch {
	case policy.GetRetryOn() == "":
		return 1
	case policy.GetNumRetries() == nil:
		return 2
	default:
		return 1 + int(policy.GetNumRetries().GetValue())
	}
}

// setAttemptHeaders sets the headers that the router sends with an attempt.
func setAttemptHeaders(ctx context.Context, vh *routev3.VirtualHost, r *request, attempt int) {
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		r.headers.set("x-envoy-expected-rq-timeout-ms", strconv.FormatInt(left, 10))
	}
	if vh.GetIncludeRequestAttemptCount() {
		r.headers.set("x-envoy-attempt-count", strconv.Itoa(attempt))
	}
}

// shouldRetry reports whether one of a policy's conditions holds for a response.
func shouldRetry(policy *routev3.RetryPolicy, resp *response) bool {
	return slices.ContainsFunc(retryConditions(policy), func(condition string) bool {
		return conditionHolds(condition, policy, resp)
	})
}

// retryConditions are the conditions of retry_on.
func retryConditions(policy *routev3.RetryPolicy) []string {
	return strings.FieldsFunc(policy.GetRetryOn(), func(r rune) bool { return r == ',' || r == ' ' })
}

// conditionHolds reports whether a condition of retry_on holds for a response.
func conditionHolds(condition string, policy *routev3.RetryPolicy, resp *response) bool {
	wasReset := strings.Contains(resp.details, "upstream_reset") || strings.Contains(resp.details, "per_try_timeout")
	hadHost := resp.details != detailsNoHealthyHost
	status := resp.status()
	switch condition {
	case "connect-failure":
		return strings.Contains(resp.details, "connection_failure") || strings.Contains(resp.details, "connection_timeout")
	case "reset":
		return wasReset
	case "5xx":
		return wasReset || status >= http.StatusInternalServerError && hadHost
	case "gateway-error":
		return wasReset || status >= http.StatusBadGateway && status <= http.StatusGatewayTimeout && hadHost
	case "retriable-status-codes":
		return slices.Contains(policy.GetRetriableStatusCodes(), uint32(status))
	case "retriable-headers":
		for _, h := range policy.GetRetriableHeaders() {
			if len(resp.headers[strings.ToLower(h.GetName())]) > 0 {
				return true
			}
		}
	}
	return false
}
