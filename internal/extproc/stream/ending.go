package stream

import (
	"net/http"
	"strings"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"cranegrade/balancer"
)

// CertainlyNotRun reports whether an ending proves that no server ran the request in this attempt.
func CertainlyNotRun(ending balancer.Ending) bool {
	return ending == balancer.Overloaded || ending == balancer.Unreachable || ending == balancer.NeverSent
}

// attemptEnding is how the attempt ended. Only the server's own X-Unprocessed, and the proxy's report that it had no
// connection, prove that the request did not run. If the proxy made several attempts by itself, they prove it for the
// last one alone, so the ending is then one after which the request may have run.
func attemptEnding(status int, header map[string][]string, m *extproc.ProcessingRequest) balancer.Ending {
	ending := lastAttemptEnding(status, header, m)
	attempts := header["x-envoy-attempt-count"]
	if CertainlyNotRun(ending) && len(attempts) > 0 && attempts[0] != "1" {
		return balancer.Broken
	}
	return ending
}

// lastAttemptEnding is how the last attempt of the proxy ended, by the response and Envoy's response code details.
func lastAttemptEnding(status int, header map[string][]string, m *extproc.ProcessingRequest) balancer.Ending {
	details := responseCodeDetails(m)
	unprocessed := onlyValue(header, "x-unprocessed") == "1"
	switch {
	case status == 0:
		return balancer.Broken
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && unprocessed:
		return balancer.Overloaded
	case strings.Contains(details, "{overflow}"):
		// The proxy's circuit breaker opened: nothing was sent, and no server is to blame.
		return balancer.NeverSent
	case strings.Contains(details, "connection_failure"),
		strings.Contains(details, "connection_timeout"),
		details == "no_healthy_upstream":
		return balancer.Unreachable
	case strings.Contains(details, "response_timeout"), strings.Contains(details, "per_try_timeout"):
		return balancer.TimedOut
	case strings.Contains(details, "upstream_reset"):
		return balancer.Broken
	case status >= http.StatusInternalServerError:
		return balancer.Failure
	}
	return balancer.Success
}

// responseCodeDetails is Envoy's attribute response.code_details, or "" if the proxy does not send it.
func responseCodeDetails(m *extproc.ProcessingRequest) string {
	details := ""
	for _, attributes := range m.GetAttributes() {
		if value := attributes.GetFields()["response.code_details"].GetStringValue(); value != "" {
			details = value
		}
	}
	return details
}

// servedEndpoint is the endpoint that the proxy says it used: in a response header, else in metadata. Envoy writes "-"
// into a header whose value is unknown.
func servedEndpoint(header map[string][]string, m *extproc.ProcessingRequest) string {
	if served := header[ServedHeader]; len(served) == 1 && served[0] != "-" {
		return served[0]
	}
	return m.GetMetadataContext().GetFilterMetadata()[MetadataNamespace].GetFields()[ServedHeader].GetStringValue()
}
