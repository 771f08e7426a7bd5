package sidecar

import (
	"net/http"
	"strings"
)

// Names of the protocol's headers.
const (
	headerAttemptID      = "Attempt-Id"
	headerTimeBudget     = "Time-Budget"
	headerOperationKey   = "Operation-Key"
	headerTargetInstance = "Target-Instance"
	headerCallerService  = "Caller-Service"
	headerInstanceID     = "Instance-Id"
	headerServerSeal     = "Server-Seal"
	headerNotExecuted    = "Not-Executed"
	headerRetryAfter     = "Retry-After"
	// headerRuleTrace asks for, and names in the response, the fingerprints of the effective policy and of the active set.
	headerRuleTrace = "Rule-Trace"
)

// headerOverheadBytes is what a header takes on the wire besides its name and value.
const headerOverheadBytes = 4

// unforwardedHeaders is the headers that only concern one connection (RFC 9110, section 7.6.1), and those that the mesh sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true, "Expect": true,
	headerCallerService: true, headerTargetInstance: true, headerTimeBudget: true,
}

// forwardedHeaders returns the headers of a request that are forwarded.
func forwardedHeaders(h http.Header) map[string][]string {
	out := make(map[string][]string, len(h)+1)
	for name, values := range h {
		if !unforwardedHeaders[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// headSize returns the approximate size of a request's head in bytes.
func headSize(hr *http.Request) int {
	n := len(hr.Method) + len(hr.RequestURI) + len(hr.Host)
	for name, values := range hr.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerOverheadBytes
		}
	}
	return n
}

func hasNoBody(hr *http.Request) bool { return hr.ContentLength == 0 && hr.TransferEncoding == nil }
