// Command cranegrade is the load balancer with all protocols, and the operators' command for it.
//
//	cranegrade                  run a node by the platform's configuration, which ROUTER_CONFIG names
//	cranegrade -config FILE     run a node by an operator's file
//	cranegrade check FILE...    check operator's files
//	cranegrade proxy-check ENVOY_FILE -config FILE
//	                            check a proxy's configuration against an operator's file
//	cranegrade proxy-config -config FILE -mode MODE
//	                            print a proxy's configuration for an operator's file
//	cranegrade zones -config FILE
//	                            print the traffic between zones, and what its budgets still allow
//	cranegrade fleet -config FILE
//	                            print the members of a node's fleet
//	cranegrade ops CALL --at ADDRESS
//	                            send a command to running nodes
//	cranegrade xds dump -config FILE
//	                            print the clusters and endpoints of a running node
//
// A node reads its file again on SIGHUP. On SIGTERM it drains and ends.
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
	program.Main(node.Options{
		XDS:       openXDS,
		ExtProc:   newExtProc,
		ZoneStore: openZoneStore,
		H2:        newH2,
		GRPC:      newGRPC,
		Fleet:     joinFleet,
	},
		proxyCheckCommand,
		proxyConfigCommand,
		zonesCommand,
		opsCommand,
		fleetCommand,
	)
}

// openXDS opens a client of the control planes of an operator's file.
func openXDS(x operator.XDS) (node.XDSClient, error) {
	return xds.Open(client.Config{
		Servers:            x.Servers,
		Delta:              x.Delta,
		ResourceTimeout:    x.Timeout,
		MaxResponseBytes:   int(x.MaxResponse),
		Clusters:           resource.ClustersConfig{KeepOnRemoval: x.KeepOnRemoval, EmptyGrace: x.EmptyGrace},
		LoadReportInterval: x.LoadReports,
		Node: &corev3.Node{
			Id:            x.NodeID,
			Cluster:       x.NodeCluster,
			UserAgentName: "cranegrade",
			Locality:      &corev3.Locality{Region: x.Region, Zone: x.Zone, SubZone: x.SubZone},
		},
	})
}

// newH2 makes a sender for servers that speak HTTP/2.
func newH2(c wire.Connections, m operator.Mux, connections engine.SharedLimit) engine.Sender {
	return h2.New(h2.Config{
		ConnectTimeout:    c.ConnectWithin,
		ServerIdleTimeout: c.Idle,
		Connections:       connections,
		MaxConnsPerServer: m.ConnectionsPerServer,
		MaxStreamsPerConn: m.StreamsPerConnection,
	})
}

// newGRPC makes the dialect that answers gRPC callers.
func newGRPC(n *node.Node) http1.Dialect { return grpc.Dialect{Serving: n.Serves} }

// newExtProc makes the front for proxies that ask where to send a request.
func newExtProc(l net.Listener, x operator.ExtProc, clock engine.Clock, n *node.Node) node.Front {
	return extproc.New(l, extproc.Config{
		Clock:              clock,
		Routes:             extProcRoutes{n},
		DecisionTimeout:    x.DecisionTimeout,
		Linger:             x.Linger,
		Retries:            x.Retries,
		RetryHeader:        x.RetryHeader,
		Streams:            uint32(x.Streams),
		Rate:               x.Rate,
		ProxyStreams:       int(x.ProxyStreams),
		IDHeader:           x.IDHeader,
		ClearRouteCache:    x.ClearRouteCache,
		HeadersOnly:        x.HeadersOnly,
		TimeLeft:           x.TimeLeft,
		RememberedRequests: int(x.RememberedRequests),
	})
}

// extProcRoutes routes the requests that proxies ask about by the node's routes.
type extProcRoutes struct{ n *node.Node }

// Route implements extproc.Routes.
func (r extProcRoutes) Route(request *stream.Request, id string) (*pool.Pool, string, *stream.ImmediateResponse) {
	header := make(map[string][]string, len(request.Header))
	for name, values := range request.Header {
		header[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
	path, _, _ := strings.Cut(request.Path, "?")
	p, class, noRoute := r.n.Find(request.Method, request.Authority, path, header, id)
	if noRoute != nil {
		return nil, "", &stream.ImmediateResponse{Status: noRoute.Status, Details: noRoute.Text}
	}
	return p, class, nil
}
