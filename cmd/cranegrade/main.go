// Command cranegrade is one node.
//
//	cranegrade                  by the platform's configuration, which ROUTER_CONFIG names
//	cranegrade -config FILE     by an operator's file
//	cranegrade check FILE...    says what is wrong with operator's files
//	cranegrade proxy-check ENVOY_FILE -config FILE
//	                            says what in a proxy's configuration would leave decisions unheeded
//	cranegrade proxy-config -config FILE -mode MODE
//	                            prints the proxy's side for a file
//	cranegrade zones -config FILE
//	                            what crossed zones, and what their budgets still allow
//	cranegrade xds dump -config FILE
//	                            what the running node holds of clusters and endpoints
//
// SIGHUP makes it read its file again; SIGTERM ends it once all that it has taken is answered.
package main

import (
	"net"
	"net/textproto"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/front/extproc"
	"cranegrade/internal/front/grpc"
	"cranegrade/internal/front/http1"
	"cranegrade/internal/node"
	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
	"cranegrade/internal/program"
	"cranegrade/internal/sender/h2"
	"cranegrade/internal/source/xds"
	"cranegrade/internal/wire"
	"cranegrade/internal/xds/client"
	"cranegrade/internal/xds/resource"
)

func main() {
	program.Main(node.Options{XDS: openXDS, ExtProc: newExtProc, ZoneStore: openZoneStore, H2: newH2, GRPC: newGRPC, Fleet: joinFleet},
		proxyCheckCommand, proxyConfigCommand, zonesCommand, opsCommand, fleetCommand)
}

// openXDS dials the control planes of an operator's file.
func openXDS(x operator.XDS) (node.XDSClient, error) {
	return xds.Open(client.Config{
		Servers: x.Servers, Delta: x.Delta, ResourceTimeout: x.Timeout, MaxResponseBytes: int(x.MaxResponse),
		Clusters:           resource.ClustersConfig{KeepOnRemoval: x.KeepOnRemoval, EmptyGrace: x.EmptyGrace},
		LoadReportInterval: x.LoadReports,
		Node: &corev3.Node{
			Id: x.NodeID, Cluster: x.NodeCluster, UserAgentName: "cranegrade",
			Locality: &corev3.Locality{Region: x.Region, Zone: x.Zone, SubZone: x.SubZone},
		},
	})
}

// newH2 makes a sender for servers that speak HTTP/2.
func newH2(c wire.Connections, m operator.Mux, connections engine.SharedLimit) engine.Sender {
	return h2.New(h2.Config{
		ConnectTimeout: c.ConnectWithin, ServerIdleTimeout: c.Idle, Connections: connections,
		MaxConnsPerServer: m.ConnectionsPerServer, MaxStreamsPerConn: m.StreamsPerConnection,
	})
}

// newGRPC makes what answers callers of gRPC.
func newGRPC(n *node.Node) http1.Dialect { return grpc.Dialect{Serving: n.Serves} }

// newExtProc makes the front for proxies that ask.
func newExtProc(l net.Listener, x operator.ExtProc, clock engine.Clock, n *node.Node) node.Front {
	return extproc.New(l, extproc.Config{
		Clock: clock, Routes: extProcRoutes{n}, DecisionTimeout: x.DecisionTimeout, Linger: x.Linger,
		Retries: x.Retries, RetryHeader: x.RetryHeader,
		Streams: uint32(x.Streams), Rate: x.Rate, ProxyStreams: int(x.ProxyStreams),
		IDHeader: x.IDHeader, ClearRouteCache: x.ClearRouteCache, HeadersOnly: x.HeadersOnly, TimeLeft: x.TimeLeft,
		RememberedRequests: int(x.RememberedRequests),
	})
}

// extProcRoutes routes the requests that proxies ask about by the node's routes.
type extProcRoutes struct{ n *node.Node }

// Route implements extproc.Routes.
func (r extProcRoutes) Route(request *stream.Request, id string) (*pool.Pool, string, *stream.ImmediateResponse) {
	header := make(map[string][]string, len(request.Header))
	for name, v := range request.Header {
		header[textproto.CanonicalMIMEHeaderKey(name)] = v
	}
	path, _, _ := strings.Cut(request.Path, "?")
	p, class, no := r.n.Find(request.Method, request.Authority, path, header, id)
	if no != nil {
		return nil, "", &stream.ImmediateResponse{Status: no.Status, Details: no.Text}
	}
	return p, class, nil
}
