package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	overridev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/override_host/v3"
	metadatav3 "github.com/envoyproxy/go-control-plane/envoy/type/metadata/v3"
	"google.golang.org/protobuf/types/known/structpb"
)

// cluster is where requests are sent: to the address that was decided, to the next one of a list, to an internal listener, or to any
// of its hosts.
type cluster struct {
	proxy               *Proxy
	connectTimeout      time.Duration
	hosts               []string
	internalListener    string // "": none
	originalDst         bool   // of type ORIGINAL_DST: requests go to the address that they carry
	originalDstHeader   string
	originalDstMetadata *metadatav3.MetadataKey
	overrideHost        *overridev3.OverrideHost
	noFallback          bool               // past the end of the override list there is no host
	filters             []*processorFilter // upstream filters: they run once the host is chosen
}

// sendAttempt is one upstream request: the host is chosen, then the upstream filters run, then it is sent.
func (c *cluster) sendAttempt(ctx context.Context, r *request, policy *routev3.RetryPolicy) *response {
	perTryTimeout := policy.GetPerTryTimeout()
	if perTryTimeout == nil {
		return c.send(ctx, r)
	}
	attemptCtx, cancel := context.WithTimeout(ctx, perTryTimeout.AsDuration())
	defer cancel()
	resp := c.send(attemptCtx, r)
	if resp.details == detailsResponseTimeout && ctx.Err() == nil {
		resp.details = detailsPerTryTimeout
	}
	return resp
}

func (c *cluster) send(ctx context.Context, r *request) *response {
	if c.internalListener != "" {
		return c.sendToInternalListener(ctx, r)
	}
	host := c.chooseHost(r)
	if host == "" {
		return localReply(http.StatusServiceUnavailable, detailsNoHealthyHost)
	}
	for _, f := range c.filters {
		defer f.closeStream(r)
		if _, reply := f.handleRequest(ctx, r); reply != nil {
			return reply
		}
	}
	c.proxy.UpstreamRequests.Add(1)
	if slices.Contains(r.decided, host) {
		c.proxy.DecisionsFollowed.Add(1)
	}
	resp := sendUpstream(ctx, r, host, c.connectTimeout)
	resp.host = host
	for _, f := range slices.Backward(c.filters) {
		f.handleResponse(ctx, r, resp)
	}
	return resp
}

func (c *cluster) sendToInternalListener(ctx context.Context, r *request) *response {
	inner := newRequest(r.headers.clone(), r.body, r.exchange)
	resp := c.proxy.internalListeners[c.internalListener].serve(ctx, inner)
	if ctx.Err() != nil {
		return localReply(http.StatusGatewayTimeout, detailsResponseTimeout)
	}
	// On this side a local reply of the internal listener is a response like any other, so it has no details.
	return &response{headers: resp.headers.clone(), body: resp.body, host: c.internalListener}
}

// chooseHost is the load balancing of the cluster; "": there is no host.
func (c *cluster) chooseHost(r *request) string {
	if c.originalDst {
		return c.originalDestination(r)
	}
	if c.overrideHost != nil {
		if host := c.nextOverrideHost(r); host != "" {
			return host
		}
		if c.noFallback {
			return ""
		}
	}
	if len(c.hosts) == 0 {
		return ""
	}
	return c.hosts[rand.IntN(len(c.hosts))]
}

// originalDestination is the address that a request carries; "" if that is none.
func (c *cluster) originalDestination(r *request) string {
	addr := r.headers.get(c.originalDstHeader)
	if c.originalDstMetadata != nil {
		addr = r.metadataString(c.originalDstMetadata)
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return ""
	}
	if config := c.proxy.config; config.IgnoreDecisions && config.OtherServer != nil {
		return config.OtherServer(addr)
	}
	return addr
}

// nextOverrideHost returns the next host of the override list that the cluster knows; "" past the end of the list.
func (c *cluster) nextOverrideHost(r *request) string {
	list := c.overrideList(r)
	for r.overridePosition < len(list) {
		host := strings.TrimSpace(list[r.overridePosition])
		r.overridePosition++
		if !slices.Contains(c.hosts, host) {
			continue
		}
		if k := c.overrideHost.GetSelectedHostKey(); k != nil {
			namespace, name := metadataPath(k)
			r.mergeMetadata(namespace, &structpb.Struct{Fields: map[string]*structpb.Value{name: structpb.NewStringValue(host)}})
		}
		return host
	}
	return ""
}

// overrideList is the list of the first source that has one.
func (c *cluster) overrideList(r *request) []string {
	for _, source := range c.overrideHost.GetOverrideHostSources() {
		v := r.headers.get(strings.ToLower(source.GetHeader()))
		if source.GetMetadata() != nil {
			v = r.metadataString(source.GetMetadata())
		}
		if v != "" {
			return strings.Split(v, ",")
		}
	}
	return nil
}

// sendUpstream sends a request to a server over HTTP/1.1 and reads the response. Each request has a connection of its own: a proxy that
// writes to a kept connection which its server has closed would have to guess whether the request ran.
func sendUpstream(ctx context.Context, r *request, addr string, connectTimeout time.Duration) *response {
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return failedUpstream(ctx, detailsConnectFailure)
	}
	defer conn.Close()
	// A deadline in the past ends reads and writes that wait.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	resp, err := roundTrip(conn, r)
	if err != nil {
		return failedUpstream(ctx, detailsTermination)
	}
	return resp
}

// roundTrip writes a request to a connection and reads the complete response.
func roundTrip(conn net.Conn, r *request) (*response, error) {
	keyHeader := ""
	if v := r.headers.get("idempotency-key"); v != "" {
		keyHeader = "Idempotency-Key: " + v + "\r\n"
	}
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.headers.get(":method"), r.headers.get(":path"), r.headers.get(":authority"), r.headers.get("x-correlation-id"),
		keyHeader, len(r.body), r.body)
	if err != nil {
		return nil, err
	}
	httpResponse, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return nil, err
	}
	resp := &response{headers: headers{":status": {strconv.Itoa(httpResponse.StatusCode)}}, body: string(body)}
	for name, values := range httpResponse.Header {
		resp.headers[strings.ToLower(name)] = slices.Clone(values)
	}
	return resp, nil
}

// failedUpstream is the local reply to a request that got no response, unless the time-out was the cause.
func failedUpstream(ctx context.Context, details string) *response {
	if ctx.Err() != nil {
		return localReply(http.StatusGatewayTimeout, detailsResponseTimeout)
	}
	return localReply(http.StatusServiceUnavailable, details)
}
