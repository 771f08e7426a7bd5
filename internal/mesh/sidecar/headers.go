package sidecar

import (
	"net/http"
	"strings"
)

// Headers of the protocol between callers, sidecars and servers.
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
	// headerRuleTrace requests the fingerprints of the effective policy and of the active policy set. In the response
	// it contains them.
	headerRuleTrace = "Rule-Trace"
)

// headerOverheadBytes is the size of the separators of a header on the wire: ": " and CRLF.
const headerOverheadBytes = 4

// unforwardedHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1) and those that the mesh sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection":         true,
	"Content-Length":     true,
	"Expect":             true,
	"Keep-Alive":         true,
	"Proxy-Connection":   true,
	"Te":                 true,
	"Trailer":            true,
	"Transfer-Encoding":  true,
	"Upgrade":            true,
	headerCallerService:  true,
	headerTargetInstance: true,
	headerTimeBudget:     true,
}

// forwardedHeaders returns the headers of a request without the hop-by-hop ones, including those that its Connection
// header names, and without those that the mesh sets itself.
func forwardedHeaders(header http.Header) map[string][]string {
	forwarded := make(map[string][]string, len(header)+1)
	for name, values := range header {
		if !unforwardedHeaders[name] {
			forwarded[name] = values
		}
	}
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(forwarded, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return forwarded
}

// headSize returns the approximate size of a request's head in bytes.
func headSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverheadBytes
		}
	}
	return size
}

// hasNoBody reports whether a request certainly has no body, so that the next one on its connection can be read.
func hasNoBody(request *http.Request) bool {
	return request.ContentLength == 0 && request.TransferEncoding == nil
}
