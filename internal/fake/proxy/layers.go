package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	overridev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/override_host/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	metadatav3 "github.com/envoyproxy/go-control-plane/envoy/type/metadata/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/envoyconf"
	"cranegrade/internal/fake"
)

// header is a message's fields by lower-case name, with the pseudo-headers.
type headers map[string][]string

func (h headers) get(name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

func (h headers) set(name, value string) { h[name] = []string{value} }

func (h headers) copy() headers {
	c := make(headers, len(h))
	for k, v := range h {
		c[k] = slices.Clone(v)
	}
	return c
}

// apply carries out a mutation.
func (h headers) apply(m *extproc.HeaderMutation) {
	for _, f := range m.GetSetHeaders() {
		v := string(f.GetHeader().GetRawValue())
		if v == "" {
			v = f.GetHeader().GetValue()
		}
		h.set(strings.ToLower(f.GetHeader().GetKey()), v)
	}
	for _, n := range m.GetRemoveHeaders() {
		delete(h, strings.ToLower(n))
	}
}

// request is one on its way through the layers of one connection manager.
type request struct {
	headers          headers
	body             string
	metadata         map[string]*structpb.Struct // dynamic metadata
	streams          map[*processorFilter]*processorStream
	overridePosition int      // hosts of an override list that were taken
	decided          []string // hosts that the processor named
	exchange         *fake.Exchange
}

// response is what comes back. details is response.code_details of one that a proxy made itself.
type response struct {
	headers headers
	body    string
	details string
	host    string // that it came from, or was tried
}

func localReply(status int, details string) *response {
	return &response{headers: headers{":status": {strconv.Itoa(status)}}, details: details}
}

func (r *response) status() int {
	n, _ := strconv.Atoi(r.headers.get(":status"))
	return n
}

// manager is an HTTP connection manager: what it takes off, its filters in order, and the router at their end.
type connectionManager struct {
	proxy               *Proxy
	internal            bool
	useRemoteAddress    bool // use_remote_address
	preserveRequestID   bool // preserve_external_request_id
	generateRequestID   bool // generate_request_id
	internalOnlyHeaders []string
	virtualHosts        []*routev3.VirtualHost
	filters             []*processorFilter
}

// fromOutside are the headers that are taken off external requests (ConnectionManagerUtility::
// mutateRequestHeaders, as the documentation of "HTTP header sanitizing" lists them).
var externalRequestHeaders = []string{
	"x-envoy-retriable-status-codes", "x-envoy-retriable-header-names", "x-envoy-retry-on", "x-envoy-retry-grpc-on",
	"x-envoy-max-retries", "x-envoy-upstream-alt-stat-name", "x-envoy-upstream-rq-timeout-ms", "x-envoy-upstream-rq-per-try-timeout-ms",
	"x-envoy-upstream-rq-timeout-alt-response", "x-envoy-expected-rq-timeout-ms", "x-envoy-force-trace", "x-envoy-ip-tags",
	"x-envoy-original-url", "x-envoy-hedge-on-per-try-timeout",
}

// sanitise does what a connection manager does before any filter runs.
func (m *connectionManager) sanitize(r *request) {
	// Callers connect from outside as far as this stand-in goes; the address they are known by at an inner
	// listener is what the outer one appended, so they are external there too.
	external := m.useRemoteAddress || m.internal
	if m.useRemoteAddress {
		r.headers["x-forwarded-for"] = []string{strings.Join(append(r.headers["x-forwarded-for"], "203.0.113.7"), ",")}
	}
	if external {
		for _, n := range externalRequestHeaders {
			delete(r.headers, n)
		}
		for _, n := range m.internalOnlyHeaders {
			delete(r.headers, n)
		}
	}
	if m.generateRequestID && (r.headers.get("x-request-id") == "" || m.useRemoteAddress && !m.preserveRequestID) {
		r.headers.set("x-request-id", r.exchange.ID) // as good as any: no two exchanges share one
	}
}

// route finds the first route of the virtual host that matches.
func (m *connectionManager) route(r *request) (*routev3.VirtualHost, *routev3.Route) {
	for _, vh := range m.virtualHosts {
		if !slices.Contains(vh.GetDomains(), "*") && !slices.Contains(vh.GetDomains(), r.headers.get(":authority")) {
			continue
		}
		for _, one := range vh.GetRoutes() {
			path, _, _ := strings.Cut(r.headers.get(":path"), "?")
			ok := one.GetMatch().GetPath() == path
			if pre := one.GetMatch().GetPrefix(); pre != "" {
				ok = strings.HasPrefix(path, pre)
			}
			for _, h := range one.GetMatch().GetHeaders() {
				ok = ok && r.headers.get(strings.ToLower(h.GetName())) != ""
			}
			if ok {
				return vh, one
			}
		}
	}
	return nil, nil
}

// serve is the order of things: headers are cleaned, the route is chosen, the filters run, the router sends; then
// the filters see the answer in reverse.
func (m *connectionManager) serve(ctx context.Context, r *request) *response {
	m.sanitize(r)
	vh, route := m.route(r)
	var resp *response
	passed := 0
	for _, f := range m.filters {
		passed++
		clear, answer := f.handleRequest(ctx, r)
		if resp = answer; resp != nil {
			break
		}
		if clear {
			vh, route = m.route(r)
		}
	}
	defer func() {
		for _, f := range m.filters {
			f.closeStream(r)
		}
	}()
	switch {
	case resp != nil:
	case route == nil:
		resp = localReply(http.StatusNotFound, "route_not_found")
	default:
		resp = m.proxy.routeRequest(ctx, vh, route, r)
	}
	for _, f := range slices.Backward(m.filters[:passed]) {
		f.handleResponse(ctx, r, resp)
	}
	return resp
}

// router is the router filter: time-outs, the tries, and what is added and taken off.
func (p *Proxy) routeRequest(ctx context.Context, vh *routev3.VirtualHost, route *routev3.Route, r *request) *response {
	a := route.GetRoute()
	whole := 15 * time.Second
	if a.GetTimeout() != nil {
		whole = a.GetTimeout().AsDuration()
	}
	if whole > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, whole)
		defer cancel()
	}
	policy := a.GetRetryPolicy()
	if policy == nil {
		policy = vh.GetRetryPolicy()
	}
	c := p.clusters[a.GetCluster()]
	most := 1
	if policy.GetRetryOn() != "" {
		if most = 2; policy.GetNumRetries() != nil {
			most = 1 + int(policy.GetNumRetries().GetValue())
		}
	}
	count := func(try int) {
		if end, has := ctx.Deadline(); has {
			r.headers.set("x-envoy-expected-rq-timeout-ms", strconv.FormatInt(max(1, time.Until(end).Milliseconds()), 10))
		}
		if vh.GetIncludeRequestAttemptCount() {
			r.headers.set("x-envoy-attempt-count", strconv.Itoa(try))
		}
	}
	count(1)
	for _, l := range [][]*corev3.HeaderValueOption{route.GetRequestHeadersToAdd(), vh.GetRequestHeadersToAdd()} {
		for _, o := range l {
			r.headers.set(strings.ToLower(o.GetHeader().GetKey()), formatHeader(o, r.headers, ""))
		}
	}
	for _, n := range append(slices.Clone(route.GetRequestHeadersToRemove()), vh.GetRequestHeadersToRemove()...) {
		delete(r.headers, strings.ToLower(n))
	}
	var resp *response
	try := 1
	for ; ; try++ {
		if try > 1 {
			count(try)
		}
		resp = c.sendAttempt(ctx, r, policy)
		if try >= most || ctx.Err() != nil || !shouldRetry(policy, resp) {
			break
		}
		// Fully jittered back-off of 25 ms and on, as by default.
		select {
		case <-time.After(time.Duration(rand.Int64N(int64(25 * time.Millisecond << min(try-1, 3))))):
		case <-ctx.Done():
		}
	}
	if vh.GetIncludeAttemptCountInResponse() {
		resp.headers.set("x-envoy-attempt-count", strconv.Itoa(try))
	}
	if resp.details == "" { // answers of its own it leaves as they are
		for _, o := range append(slices.Clone(route.GetResponseHeadersToAdd()), vh.GetResponseHeadersToAdd()...) {
			resp.headers.set(strings.ToLower(o.GetHeader().GetKey()), formatHeader(o, r.headers, resp.host))
		}
	}
	for _, n := range append(slices.Clone(route.GetResponseHeadersToRemove()), vh.GetResponseHeadersToRemove()...) {
		delete(resp.headers, strings.ToLower(n))
	}
	return resp
}

// again says that a policy has the router try once more after this.
func shouldRetry(policy *routev3.RetryPolicy, resp *response) bool {
	reset := strings.Contains(resp.details, "upstream_reset") || strings.Contains(resp.details, "per_try_timeout")
	unconnected := strings.Contains(resp.details, "connection_failure") || strings.Contains(resp.details, "connection_timeout")
	for _, on := range retryOn(policy) {
		switch on {
		case "connect-failure":
			if unconnected {
				return true
			}
		case "reset":
			if reset {
				return true
			}
		case "5xx":
			if reset || resp.status() >= 500 && resp.details != "no_healthy_upstream" {
				return true
			}
		case "gateway-error":
			if s := resp.status(); reset || s >= 502 && s <= 504 && resp.details != "no_healthy_upstream" {
				return true
			}
		case "retriable-status-codes":
			if slices.Contains(policy.GetRetriableStatusCodes(), uint32(resp.status())) {
				return true
			}
		case "retriable-headers":
			for _, h := range policy.GetRetriableHeaders() {
				if len(resp.headers[strings.ToLower(h.GetName())]) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// cluster is where requests go: by the address that was decided, by a list of them, to an internal listener, or to
// whichever of its hosts.
type cluster struct {
	proxy               *Proxy
	connectTimeout      time.Duration
	hosts               []string
	internalListener    string // internal listener
	originalDst         bool   // ORIGINAL_DST
	originalDstHeader   string
	originalDstMetadata *metadatav3.MetadataKey
	overrideHost        *overridev3.OverrideHost
	noFallback          bool               // past the list there is no host
	filters             []*processorFilter // upstream filters: they run once the host is chosen
}

// try is one upstream request: the host is chosen, then the upstream filters run, then it is sent.
func (c *cluster) sendAttempt(ctx context.Context, r *request, policy *routev3.RetryPolicy) *response {
	if per := policy.GetPerTryTimeout(); per != nil {
		var cancel context.CancelFunc
		whole := ctx
		ctx, cancel = context.WithTimeout(ctx, per.AsDuration())
		defer cancel()
		resp := c.send(ctx, r)
		if resp.details == "response_timeout" && whole.Err() == nil {
			resp.details = "upstream_per_try_timeout"
		}
		return resp
	}
	return c.send(ctx, r)
}

func (c *cluster) send(ctx context.Context, r *request) *response {
	if c.internalListener != "" {
		in := &request{headers: r.headers.copy(), body: r.body, metadata: map[string]*structpb.Struct{}, streams: map[*processorFilter]*processorStream{}, exchange: r.exchange}
		resp := c.proxy.internalListeners[c.internalListener].serve(ctx, in)
		if ctx.Err() != nil {
			return localReply(http.StatusGatewayTimeout, "response_timeout")
		}
		// For this side it is an answer like any other.
		return &response{headers: resp.headers.copy(), body: resp.body, host: c.internalListener}
	}
	host := c.chooseHost(r)
	if host == "" {
		return localReply(http.StatusServiceUnavailable, "no_healthy_upstream")
	}
	for _, f := range c.filters {
		defer f.closeStream(r)
		if _, answer := f.handleRequest(ctx, r); answer != nil {
			return answer
		}
	}
	c.proxy.UpstreamRequests.Add(1)
	if slices.Contains(r.decided, host) {
		c.proxy.DecisionsFollowed.Add(1)
	}
	resp := c.proxy.sendUpstream(ctx, r, host, c.connectTimeout)
	resp.host = host
	for _, f := range slices.Backward(c.filters) {
		f.handleResponse(ctx, r, resp)
	}
	return resp
}

// text is what dynamic metadata says under a key; "": nothing.
func (r *request) metadataString(k *metadatav3.MetadataKey) string {
	space, name := metadataPath(k)
	return r.metadata[space].GetFields()[name].GetStringValue()
}

func (c *cluster) chooseHost(r *request) string {
	switch {
	case c.originalDst:
		to := r.headers.get(c.originalDstHeader)
		if c.originalDstMetadata != nil {
			to = r.metadataString(c.originalDstMetadata)
		}
		if _, _, err := net.SplitHostPort(to); err != nil {
			return ""
		}
		if c.proxy.cfg.IgnoreDecisions && c.proxy.cfg.OtherServer != nil {
			to = c.proxy.cfg.OtherServer(to)
		}
		return to
	case c.overrideHost != nil:
		// The sources are searched in their order; addresses that the cluster does not know are passed over.
		var list []string
		for _, s := range c.overrideHost.GetOverrideHostSources() {
			v := r.headers.get(strings.ToLower(s.GetHeader()))
			if s.GetMetadata() != nil {
				v = r.metadataString(s.GetMetadata())
			}
			if v != "" {
				list = strings.Split(v, ",")
				break
			}
		}
		for r.overridePosition < len(list) {
			to := strings.TrimSpace(list[r.overridePosition])
			if r.overridePosition++; slices.Contains(c.hosts, to) {
				if k := c.overrideHost.GetSelectedHostKey(); k != nil {
					space, name := metadataPath(k)
					r.mergeMetadata(space, &structpb.Struct{Fields: map[string]*structpb.Value{name: structpb.NewStringValue(to)}})
				}
				return to
			}
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

// put merges fields into a namespace of dynamic metadata.
func (r *request) mergeMetadata(space string, s *structpb.Struct) {
	if r.metadata[space] == nil {
		r.metadata[space] = &structpb.Struct{Fields: map[string]*structpb.Value{}}
	}
	maps.Copy(r.metadata[space].Fields, s.GetFields())
}

// carry sends a request to a server over HTTP/1.1 and reads the answer.
func (p *Proxy) sendUpstream(ctx context.Context, r *request, to string, connect time.Duration) *response {
	// A connection of its own: a proxy that wrote to a kept one which its server has closed would have to
	// guess whether the request ran.
	c, err := (&net.Dialer{Timeout: connect}).DialContext(ctx, "tcp", to)
	if err != nil {
		if ctx.Err() != nil {
			return localReply(http.StatusGatewayTimeout, "response_timeout")
		}
		return localReply(http.StatusServiceUnavailable, "upstream_reset_before_response_started{remote_connection_failure}")
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	key := ""
	if v := r.headers.get("idempotency-key"); v != "" {
		key = "Idempotency-Key: " + v + "\r\n"
	}
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.headers.get(":method"), r.headers.get(":path"), r.headers.get(":authority"), r.headers.get("x-correlation-id"), key, len(r.body), r.body)
	var resp *http.Response
	in := bufio.NewReader(c)
	if err == nil {
		resp, err = http.ReadResponse(in, nil)
	}
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		if ctx.Err() != nil {
			return localReply(http.StatusGatewayTimeout, "response_timeout")
		}
		return localReply(http.StatusServiceUnavailable, "upstream_reset_before_response_started{connection_termination}")
	}
	out := &response{headers: headers{":status": {strconv.Itoa(resp.StatusCode)}}, body: string(text)}
	for n, v := range resp.Header {
		out.headers[strings.ToLower(n)] = slices.Clone(v)
	}
	return out
}

// asker is the external processing filter, of a connection manager or of a cluster.
type processorFilter struct {
	proxy          *Proxy
	config         *extprocv3.ExternalProcessor
	cluster        string // the processor's cluster
	messageTimeout time.Duration
}

// side is its stream for one request.
type processorStream struct {
	client extproc.ExternalProcessor_ProcessClient
	cancel context.CancelFunc
	closed bool
}

// failed is what follows when the processor does not answer.
func (a *processorFilter) fail(s *processorStream) *response {
	a.proxy.MessageTimeouts.Add(1)
	s.closed = true
	s.cancel()
	if a.config.GetFailureModeAllow() {
		return nil
	}
	return localReply(http.StatusInternalServerError, "ext_proc_error")
}

func headerMap(h headers) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for _, n := range slices.Sorted(maps.Keys(h)) {
		for _, v := range h[n] {
			m.Headers = append(m.Headers, &corev3.HeaderValue{Key: n, RawValue: []byte(v)})
		}
	}
	return m
}

// request asks where a request should go. clear: the route is to be chosen anew. An answer ends the request.
func (a *processorFilter) handleRequest(ctx context.Context, r *request) (clear bool, answer *response) {
	if a.config.GetProcessingMode().GetRequestHeaderMode() == extprocv3.ProcessingMode_SKIP {
		return false, nil
	}
	own, hangup := context.WithCancel(ctx)
	s := &processorStream{cancel: hangup}
	r.streams[a] = s
	st, err := a.proxy.processorClient.Process(own)
	if err != nil {
		return false, a.fail(s)
	}
	s.client = st
	asked := time.Now()
	err = st.Send(&extproc.ProcessingRequest{ObservabilityMode: a.config.GetObservabilityMode(), Request: &extproc.ProcessingRequest_RequestHeaders{
		RequestHeaders: &extproc.HttpHeaders{Headers: headerMap(r.headers), EndOfStream: r.body == ""},
	}})
	if err != nil && !errors.Is(err, io.EOF) {
		return false, a.fail(s)
	}
	if a.config.GetObservabilityMode() {
		return false, nil
	}
	word, err := receiveWithin(st, a.messageTimeout)
	a.proxy.Waits.Lock()
	a.proxy.Waits.L = append(a.proxy.Waits.L, time.Since(asked))
	a.proxy.Waits.Unlock()
	if err != nil {
		return false, a.fail(s)
	}
	if i := word.GetImmediateResponse(); i != nil {
		a.proxy.ImmediateResponses.Add(1)
		s.closed = true
		resp := localReply(int(i.GetStatus().GetCode()), i.GetDetails())
		resp.headers.apply(i.GetHeaders())
		return false, resp
	}
	a.proxy.Decisions.Add(1)
	common := word.GetRequestHeaders().GetResponse()
	for _, f := range common.GetHeaderMutation().GetSetHeaders() {
		if f.GetHeader().GetKey() == envoyconf.Header {
			r.decided = strings.Split(string(f.GetHeader().GetRawValue()), ",")
		}
	}
	if !a.config.GetMutationRules().GetDisallowAll().GetValue() {
		r.headers.apply(common.GetHeaderMutation())
	}
	for space, v := range word.GetDynamicMetadata().GetFields() {
		if slices.Contains(a.config.GetMetadataOptions().GetReceivingNamespaces().GetUntyped(), space) {
			r.mergeMetadata(space, v.GetStructValue())
		}
	}
	if a.proxy.cfg.DropStream != nil && a.proxy.cfg.DropStream() {
		time.AfterFunc(2*time.Millisecond, hangup) // while it is on its way, or at its server
	}
	return common.GetClearRouteCache(), nil
}

// response shows the processor what came back, and does as it says.
func (a *processorFilter) handleResponse(ctx context.Context, r *request, resp *response) {
	s := r.streams[a]
	if s == nil || s.closed || ctx.Err() != nil || a.config.GetProcessingMode().GetResponseHeaderMode() == extprocv3.ProcessingMode_SKIP {
		return
	}
	s.closed = true
	m := &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extproc.HttpHeaders{
		Headers: headerMap(resp.headers), EndOfStream: true,
	}}}
	if resp.details != "" && slices.Contains(a.config.GetResponseAttributes(), "response.code_details") {
		m.Attributes = map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
			"response.code_details": structpb.NewStringValue(resp.details),
		}}}
	}
	for _, space := range a.config.GetMetadataOptions().GetForwardingNamespaces().GetUntyped() {
		if v := r.metadata[space]; v != nil {
			m.MetadataContext = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{space: v}}
		}
	}
	if s.client.Send(m) != nil {
		return
	}
	word, err := receiveWithin(s.client, a.messageTimeout)
	switch {
	case err != nil: // after the decision too it fails closed, but what came is an answer
		if !a.config.GetFailureModeAllow() && !errors.Is(err, context.Canceled) && a.proxy.cfg.DropStream == nil {
			resp.headers, resp.body, resp.details = headers{":status": {"500"}}, "", "ext_proc_error"
		}
	case word.GetImmediateResponse() != nil:
		i := word.GetImmediateResponse()
		resp.headers, resp.body, resp.details = headers{":status": {strconv.Itoa(int(i.GetStatus().GetCode()))}}, "", i.GetDetails()
		resp.headers.apply(i.GetHeaders())
	default:
		resp.headers.apply(word.GetResponseHeaders().GetResponse().GetHeaderMutation())
	}
	s.client.CloseSend()
}

// done ends the stream of a request that is over.
func (a *processorFilter) closeStream(r *request) {
	if s := r.streams[a]; s != nil {
		s.cancel()
		delete(r.streams, a)
	}
}
