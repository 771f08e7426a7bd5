package stream

import (
	"fmt"
	"net/http"
	"strings"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// Names of the endpoint picker protocol.
const (
	DestinationHeader = "x-gateway-destination-endpoint"        // the picked endpoint, and fallbacks after it
	ServedHeader      = "x-gateway-destination-endpoint-served" // the endpoint that served the request
	SubsetHeader      = "x-gateway-destination-endpoint-subset" // the endpoints that may be picked
	MetadataNamespace = "envoy.lb"                              // of the destination and of the endpoint that served
	SubsetNamespace   = "envoy.lb.subset_hint"                  // of the subset
)

// maxSubsetEndpoints bounds a subset hint; endpoints beyond it are ignored.
const maxSubsetEndpoints = 10_000

// Request is the head of the HTTP request for which an endpoint is to be picked.
type Request struct {
	Method, Path, Authority string
	Header                  map[string][]string // by lower-case name, without pseudo-headers
	EndOfStream             bool                // the request has no body
	// Subset are the endpoints that may be picked, as ip:port. nil means any, and empty none.
	Subset []string
}

// Get returns the first value of a header field, by its lower-case name, or "".
func (r *Request) Get(name string) string {
	if values := r.Header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

func (s *Stream) handleRequestHeaders(h *extproc.HttpHeaders, m *extproc.ProcessingRequest) {
	if s.phase != awaitingRequest || s.request.headersSeen {
		s.violate(fmt.Errorf("%w: request headers twice", ErrOutOfOrder))
		return
	}
	s.request.headersSeen, s.request.ended = true, h.GetEndOfStream()
	r, err := newRequest(h, m)
	if err != nil {
		// The client is at fault, not the proxy, so the request is answered and the stream is not an error.
		s.respond(ImmediateResponse{Status: http.StatusBadRequest, Details: err.Error()})
		return
	}
	s.grpc = strings.HasPrefix(r.Get("content-type"), "application/grpc")
	if s.observabilityMode {
		// The proxy forwards the request without waiting for a decision, so there is nothing to pick.
		s.phase = responded
		s.outcomeReported = true
		return
	}
	s.phase = awaitingDecision
	s.emit(PickEndpoint{r})
}

// newRequest reads the request headers. A request needs exactly one :method and :path and at most one :authority
// (RFC 9113, section 8.3.1).
func newRequest(h *extproc.HttpHeaders, m *extproc.ProcessingRequest) (*Request, error) {
	pseudo, header, err := parseHeaders(h.GetHeaders())
	if err != nil {
		return nil, err
	}
	r := &Request{
		Method:      onlyValue(pseudo, ":method"),
		Path:        onlyValue(pseudo, ":path"),
		Authority:   onlyValue(pseudo, ":authority"),
		Header:      header,
		EndOfStream: h.GetEndOfStream(),
		Subset:      subsetHint(m),
	}
	if r.Method == "" || r.Path == "" || len(pseudo[":authority"]) > 1 {
		return nil, fmt.Errorf("%w: not one :method, :path and :authority", ErrBadHeaders)
	}
	return r, nil
}

// subsetHint reads from the metadata which endpoints may be picked: a list, or text separated by commas; nil if there
// is no hint. The header of the same name is not read, since the client may have set it.
func subsetHint(m *extproc.ProcessingRequest) []string {
	hint := m.GetMetadataContext().GetFilterMetadata()[SubsetNamespace].GetFields()[SubsetHeader]
	if hint == nil {
		return nil
	}
	endpoints := []string{}
	add := func(text string) {
		for endpoint := range strings.SplitSeq(text, ",") {
			if endpoint = strings.TrimSpace(endpoint); endpoint != "" && len(endpoints) < maxSubsetEndpoints {
				endpoints = append(endpoints, endpoint)
			}
		}
	}
	for _, value := range hint.GetListValue().GetValues() {
		add(value.GetStringValue())
	}
	add(hint.GetStringValue())
	return endpoints
}
