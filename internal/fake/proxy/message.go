package proxy

import (
	"maps"
	"strconv"

	metadatav3 "github.com/envoyproxy/go-control-plane/envoy/type/metadata/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/fake"
)

// request is a request on its way through the layers of one connection manager.
type request struct {
	headers          headers
	body             string
	metadata         map[string]*structpb.Struct // dynamic metadata, by namespace
	streams          map[*processorFilter]*processorStream
	overridePosition int      // the next host of the override list to try
	decided          []string // servers that the processor named
	exchange         *fake.Exchange
}

func newRequest(h headers, body string, x *fake.Exchange) *request {
	return &request{
		headers: h, body: body, exchange: x,
		metadata: map[string]*structpb.Struct{}, streams: map[*processorFilter]*processorStream{},
	}
}

// metadataString returns what dynamic metadata holds under a key; "" if nothing.
func (r *request) metadataString(k *metadatav3.MetadataKey) string {
	namespace, name := metadataPath(k)
	return r.metadata[namespace].GetFields()[name].GetStringValue()
}

// mergeMetadata adds fields to a namespace of dynamic metadata.
func (r *request) mergeMetadata(namespace string, s *structpb.Struct) {
	if r.metadata[namespace] == nil {
		r.metadata[namespace] = &structpb.Struct{Fields: map[string]*structpb.Value{}}
	}
	maps.Copy(r.metadata[namespace].Fields, s.GetFields())
}

// metadataPath is the namespace and the only step of a metadata key.
func metadataPath(k *metadatav3.MetadataKey) (namespace, name string) {
	if path := k.GetPath(); len(path) > 0 {
		name = path[0].GetKey()
	}
	return k.GetKey(), name
}

// response is a response on its way back through the layers.
type response struct {
	headers headers
	body    string
	details string // response.code_details of a local reply; "": a server sent the response
	host    string // the server that sent it, or that was tried
}

// Response code details, as Envoy's documentation lists them.
const (
	detailsRouteNotFound   = "route_not_found"
	detailsNoHealthyHost   = "no_healthy_upstream"
	detailsResponseTimeout = "response_timeout"
	detailsPerTryTimeout   = "upstream_per_try_timeout"
	detailsExtProcError    = "ext_proc_error"
	detailsConnectFailure  = "upstream_reset_before_response_started{remote_connection_failure}"
	detailsTermination     = "upstream_reset_before_response_started{connection_termination}"
)

// localReply is a response that the proxy makes itself.
func localReply(status int, details string) *response {
	return &response{headers: headers{":status": {strconv.Itoa(status)}}, details: details}
}

// replaceByLocalReply makes a response one of the proxy's own.
func (r *response) replaceByLocalReply(status int, details string) {
	r.headers, r.body, r.details = headers{":status": {strconv.Itoa(status)}}, "", details
}

// status is the status code; 0 if there is none.
func (r *response) status() int {
	n, err := strconv.Atoi(r.headers.get(":status"))
	if err != nil {
		return 0
	}
	return n
}
