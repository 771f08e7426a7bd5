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

	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/standin"
)

// header is a message's fields by lower-case name, with the pseudo-headers.
type header map[string][]string

func (h header) get(name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

func (h header) set(name, value string) { h[name] = []string{value} }

func (h header) copy() header {
	c := make(header, len(h))
	for k, v := range h {
		c[k] = slices.Clone(v)
	}
	return c
}

// apply carries out a mutation.
func (h header) apply(m *extproc.HeaderMutation) {
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
	head  header
	body  string
	meta  map[string]*structpb.Struct // dynamic metadata
	sides map[*asker]*side
	pos   int      // hosts of an override list that were taken
	told  []string // hosts that the processor named
	x     *standin.Exchange
}

// response is what comes back. details is response.code_details of one that a proxy made itself.
type response struct {
	head    header
	body    string
	details string
	host    string // that it came from, or was tried
}

func local(status int, details string) *response {
	return &response{head: header{":status": {strconv.Itoa(status)}}, details: details}
}

func (r *response) status() int {
	n, _ := strconv.Atoi(r.head.get(":status"))
	return n
}

// manager is an HTTP connection manager: what it takes off, its filters in order, and the router at their end.
type manager struct {
	p        *Proxy
	internal bool
	remote   bool // use_remote_address
	preserve bool // preserve_external_request_id
	ids      bool // generate_request_id
	only     []string
	hosts    []*routev3.VirtualHost
	filters  []*asker
}

// fromOutside are the headers that are taken off external requests (ConnectionManagerUtility::
// mutateRequestHeaders, as the documentation of "HTTP header sanitizing" lists them).
var fromOutside = []string{
	"x-envoy-retriable-status-codes", "x-envoy-retriable-header-names", "x-envoy-retry-on", "x-envoy-retry-grpc-on",
	"x-envoy-max-retries", "x-envoy-upstream-alt-stat-name", "x-envoy-upstream-rq-timeout-ms", "x-envoy-upstream-rq-per-try-timeout-ms",
	"x-envoy-upstream-rq-timeout-alt-response", "x-envoy-expected-rq-timeout-ms", "x-envoy-force-trace", "x-envoy-ip-tags",
	"x-envoy-original-url", "x-envoy-hedge-on-per-try-timeout",
}

// sanitise does what a connection manager does before any filter runs.
func (m *manager) sanitise(r *request) {
	// Callers connect from outside as far as this stand-in goes; the address they are known by at an inner
	// listener is what the outer one appended, so they are external there too.
	external := m.remote || m.internal
	if m.remote {
		r.head["x-forwarded-for"] = []string{strings.Join(append(r.head["x-forwarded-for"], "203.0.113.7"), ",")}
	}
	if external {
		for _, n := range fromOutside {
			delete(r.head, n)
		}
		for _, n := range m.only {
			delete(r.head, n)
		}
	}
	if m.ids && (r.head.get("x-request-id") == "" || m.remote && !m.preserve) {
		r.head.set("x-request-id", r.x.ID) // as good as any: no two exchanges share one
	}
}

// route finds the first route of the virtual host that matches.
func (m *manager) route(r *request) (*routev3.VirtualHost, *routev3.Route) {
	for _, vh := range m.hosts {
		if !slices.Contains(vh.GetDomains(), "*") && !slices.Contains(vh.GetDomains(), r.head.get(":authority")) {
			continue
		}
		for _, one := range vh.GetRoutes() {
			path, _, _ := strings.Cut(r.head.get(":path"), "?")
			ok := one.GetMatch().GetPath() == path
			if pre := one.GetMatch().GetPrefix(); pre != "" {
				ok = strings.HasPrefix(path, pre)
			}
			for _, h := range one.GetMatch().GetHeaders() {
				ok = ok && r.head.get(strings.ToLower(h.GetName())) != ""
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
func (m *manager) serve(ctx context.Context, r *request) *response {
	m.sanitise(r)
	vh, route := m.route(r)
	var resp *response
	passed := 0
	for _, f := range m.filters {
		passed++
		clear, answer := f.request(ctx, r)
		if resp = answer; resp != nil {
			break
		}
		if clear {
			vh, route = m.route(r)
		}
	}
	defer func() {
		for _, f := range m.filters {
			f.done(r)
		}
	}()
	switch {
	case resp != nil:
	case route == nil:
		resp = local(http.StatusNotFound, "route_not_found")
	default:
		resp = m.p.router(ctx, vh, route, r)
	}
	for _, f := range slices.Backward(m.filters[:passed]) {
		f.response(ctx, r, resp)
	}
	return resp
}

// router is the router filter: time-outs, the tries, and what is added and taken off.
func (p *Proxy) router(ctx context.Context, vh *routev3.VirtualHost, route *routev3.Route, r *request) *response {
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
			r.head.set("x-envoy-expected-rq-timeout-ms", strconv.FormatInt(max(1, time.Until(end).Milliseconds()), 10))
		}
		if vh.GetIncludeRequestAttemptCount() {
			r.head.set("x-envoy-attempt-count", strconv.Itoa(try))
		}
	}
	count(1)
	for _, l := range [][]*corev3.HeaderValueOption{route.GetRequestHeadersToAdd(), vh.GetRequestHeadersToAdd()} {
		for _, o := range l {
			r.head.set(strings.ToLower(o.GetHeader().GetKey()), format(o, r.head, ""))
		}
	}
	for _, n := range append(slices.Clone(route.GetRequestHeadersToRemove()), vh.GetRequestHeadersToRemove()...) {
		delete(r.head, strings.ToLower(n))
	}
	var resp *response
	try := 1
	for ; ; try++ {
		if try > 1 {
			count(try)
		}
		resp = c.try(ctx, r, policy)
		if try >= most || ctx.Err() != nil || !again(policy, resp) {
			break
		}
		// Fully jittered back-off of 25 ms and on, as by default.
		select {
		case <-time.After(time.Duration(rand.Int64N(int64(25 * time.Millisecond << min(try-1, 3))))):
		case <-ctx.Done():
		}
	}
	if vh.GetIncludeAttemptCountInResponse() {
		resp.head.set("x-envoy-attempt-count", strconv.Itoa(try))
	}
	if resp.details == "" { // answers of its own it leaves as they are
		for _, o := range append(slices.Clone(route.GetResponseHeadersToAdd()), vh.GetResponseHeadersToAdd()...) {
			resp.head.set(strings.ToLower(o.GetHeader().GetKey()), format(o, r.head, resp.host))
		}
	}
	for _, n := range append(slices.Clone(route.GetResponseHeadersToRemove()), vh.GetResponseHeadersToRemove()...) {
		delete(resp.head, strings.ToLower(n))
	}
	return resp
}

// again says that a policy has the router try once more after this.
func again(policy *routev3.RetryPolicy, resp *response) bool {
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
				if len(resp.head[strings.ToLower(h.GetName())]) > 0 {
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
	p        *Proxy
	connect  time.Duration
	hosts    []string
	leads    string // internal listener
	original bool   // ORIGINAL_DST
	header   string
	metadata *metadatav3.MetadataKey
	override *overridev3.OverrideHost
	ends     bool     // past the list there is no host
	filters  []*asker // upstream filters: they run once the host is chosen
}

// try is one upstream request: the host is chosen, then the upstream filters run, then it is sent.
func (c *cluster) try(ctx context.Context, r *request, policy *routev3.RetryPolicy) *response {
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
	if c.leads != "" {
		in := &request{head: r.head.copy(), body: r.body, meta: map[string]*structpb.Struct{}, sides: map[*asker]*side{}, x: r.x}
		resp := c.p.inner[c.leads].serve(ctx, in)
		if ctx.Err() != nil {
			return local(http.StatusGatewayTimeout, "response_timeout")
		}
		// For this side it is an answer like any other.
		return &response{head: resp.head.copy(), body: resp.body, host: c.leads}
	}
	host := c.choose(r)
	if host == "" {
		return local(http.StatusServiceUnavailable, "no_healthy_upstream")
	}
	for _, f := range c.filters {
		defer f.done(r)
		if _, answer := f.request(ctx, r); answer != nil {
			return answer
		}
	}
	c.p.Sent.Add(1)
	if slices.Contains(r.told, host) {
		c.p.Heeded.Add(1)
	}
	resp := c.p.carry(ctx, r, host, c.connect)
	resp.host = host
	for _, f := range slices.Backward(c.filters) {
		f.response(ctx, r, resp)
	}
	return resp
}

// text is what dynamic metadata says under a key; "": nothing.
func (r *request) text(k *metadatav3.MetadataKey) string {
	space, name := keyOf(k)
	return r.meta[space].GetFields()[name].GetStringValue()
}

func (c *cluster) choose(r *request) string {
	switch {
	case c.original:
		to := r.head.get(c.header)
		if c.metadata != nil {
			to = r.text(c.metadata)
		}
		if _, _, err := net.SplitHostPort(to); err != nil {
			return ""
		}
		if c.p.cfg.Deaf && c.p.cfg.Elsewhere != nil {
			to = c.p.cfg.Elsewhere(to)
		}
		return to
	case c.override != nil:
		// The sources are searched in their order; addresses that the cluster does not know are passed over.
		var list []string
		for _, s := range c.override.GetOverrideHostSources() {
			v := r.head.get(strings.ToLower(s.GetHeader()))
			if s.GetMetadata() != nil {
				v = r.text(s.GetMetadata())
			}
			if v != "" {
				list = strings.Split(v, ",")
				break
			}
		}
		for r.pos < len(list) {
			to := strings.TrimSpace(list[r.pos])
			if r.pos++; slices.Contains(c.hosts, to) {
				if k := c.override.GetSelectedHostKey(); k != nil {
					space, name := keyOf(k)
					r.put(space, &structpb.Struct{Fields: map[string]*structpb.Value{name: structpb.NewStringValue(to)}})
				}
				return to
			}
		}
		if c.ends {
			return ""
		}
	}
	if len(c.hosts) == 0 {
		return ""
	}
	return c.hosts[rand.IntN(len(c.hosts))]
}

// put merges fields into a namespace of dynamic metadata.
func (r *request) put(space string, s *structpb.Struct) {
	if r.meta[space] == nil {
		r.meta[space] = &structpb.Struct{Fields: map[string]*structpb.Value{}}
	}
	maps.Copy(r.meta[space].Fields, s.GetFields())
}

// carry sends a request to a server over HTTP/1.1 and reads the answer.
func (p *Proxy) carry(ctx context.Context, r *request, to string, connect time.Duration) *response {
	// A connection of its own: a proxy that wrote to a kept one which its server has closed would have to
	// guess whether the request ran.
	c, err := (&net.Dialer{Timeout: connect}).DialContext(ctx, "tcp", to)
	if err != nil {
		if ctx.Err() != nil {
			return local(http.StatusGatewayTimeout, "response_timeout")
		}
		return local(http.StatusServiceUnavailable, "upstream_reset_before_response_started{remote_connection_failure}")
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	key := ""
	if v := r.head.get("idempotency-key"); v != "" {
		key = "Idempotency-Key: " + v + "\r\n"
	}
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.head.get(":method"), r.head.get(":path"), r.head.get(":authority"), r.head.get("x-correlation-id"), key, len(r.body), r.body)
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
			return local(http.StatusGatewayTimeout, "response_timeout")
		}
		return local(http.StatusServiceUnavailable, "upstream_reset_before_response_started{connection_termination}")
	}
	out := &response{head: header{":status": {strconv.Itoa(resp.StatusCode)}}, body: string(text)}
	for n, v := range resp.Header {
		out.head[strings.ToLower(n)] = slices.Clone(v)
	}
	return out
}

// asker is the external processing filter, of a connection manager or of a cluster.
type asker struct {
	p    *Proxy
	cfg  *extprocv3.ExternalProcessor
	of   string // the processor's cluster
	wait time.Duration
}

// side is its stream for one request.
type side struct {
	st     extproc.ExternalProcessor_ProcessClient
	hangup context.CancelFunc
	over   bool
}

// failed is what follows when the processor does not answer.
func (a *asker) failed(s *side) *response {
	a.p.Unanswered.Add(1)
	s.over = true
	s.hangup()
	if a.cfg.GetFailureModeAllow() {
		return nil
	}
	return local(http.StatusInternalServerError, "ext_proc_error")
}

func headerMap(h header) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for _, n := range slices.Sorted(maps.Keys(h)) {
		for _, v := range h[n] {
			m.Headers = append(m.Headers, &corev3.HeaderValue{Key: n, RawValue: []byte(v)})
		}
	}
	return m
}

// request asks where a request should go. clear: the route is to be chosen anew. An answer ends the request.
func (a *asker) request(ctx context.Context, r *request) (clear bool, answer *response) {
	if a.cfg.GetProcessingMode().GetRequestHeaderMode() == extprocv3.ProcessingMode_SKIP {
		return false, nil
	}
	own, hangup := context.WithCancel(ctx)
	s := &side{hangup: hangup}
	r.sides[a] = s
	st, err := a.p.svc.Process(own)
	if err != nil {
		return false, a.failed(s)
	}
	s.st = st
	asked := time.Now()
	err = st.Send(&extproc.ProcessingRequest{ObservabilityMode: a.cfg.GetObservabilityMode(), Request: &extproc.ProcessingRequest_RequestHeaders{
		RequestHeaders: &extproc.HttpHeaders{Headers: headerMap(r.head), EndOfStream: r.body == ""},
	}})
	if err != nil && !errors.Is(err, io.EOF) {
		return false, a.failed(s)
	}
	if a.cfg.GetObservabilityMode() {
		return false, nil
	}
	word, err := receive(st, a.wait)
	a.p.Waits.Lock()
	a.p.Waits.L = append(a.p.Waits.L, time.Since(asked))
	a.p.Waits.Unlock()
	if err != nil {
		return false, a.failed(s)
	}
	if i := word.GetImmediateResponse(); i != nil {
		a.p.Immediate.Add(1)
		s.over = true
		resp := local(int(i.GetStatus().GetCode()), i.GetDetails())
		resp.head.apply(i.GetHeaders())
		return false, resp
	}
	a.p.Decisions.Add(1)
	common := word.GetRequestHeaders().GetResponse()
	for _, f := range common.GetHeaderMutation().GetSetHeaders() {
		if f.GetHeader().GetKey() == stream.DestinationHeader {
			r.told = strings.Split(string(f.GetHeader().GetRawValue()), ",")
		}
	}
	if !a.cfg.GetMutationRules().GetDisallowAll().GetValue() {
		r.head.apply(common.GetHeaderMutation())
	}
	for space, v := range word.GetDynamicMetadata().GetFields() {
		if slices.Contains(a.cfg.GetMetadataOptions().GetReceivingNamespaces().GetUntyped(), space) {
			r.put(space, v.GetStructValue())
		}
	}
	if a.p.cfg.Drop != nil && a.p.cfg.Drop() {
		time.AfterFunc(2*time.Millisecond, hangup) // while it is on its way, or at its server
	}
	return common.GetClearRouteCache(), nil
}

// response shows the processor what came back, and does as it says.
func (a *asker) response(ctx context.Context, r *request, resp *response) {
	s := r.sides[a]
	if s == nil || s.over || ctx.Err() != nil || a.cfg.GetProcessingMode().GetResponseHeaderMode() == extprocv3.ProcessingMode_SKIP {
		return
	}
	s.over = true
	m := &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extproc.HttpHeaders{
		Headers: headerMap(resp.head), EndOfStream: true,
	}}}
	if resp.details != "" && slices.Contains(a.cfg.GetResponseAttributes(), "response.code_details") {
		m.Attributes = map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
			"response.code_details": structpb.NewStringValue(resp.details),
		}}}
	}
	for _, space := range a.cfg.GetMetadataOptions().GetForwardingNamespaces().GetUntyped() {
		if v := r.meta[space]; v != nil {
			m.MetadataContext = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{space: v}}
		}
	}
	if s.st.Send(m) != nil {
		return
	}
	word, err := receive(s.st, a.wait)
	switch {
	case err != nil: // after the decision too it fails closed, but what came is an answer
		if !a.cfg.GetFailureModeAllow() && !errors.Is(err, context.Canceled) && a.p.cfg.Drop == nil {
			resp.head, resp.body, resp.details = header{":status": {"500"}}, "", "ext_proc_error"
		}
	case word.GetImmediateResponse() != nil:
		i := word.GetImmediateResponse()
		resp.head, resp.body, resp.details = header{":status": {strconv.Itoa(int(i.GetStatus().GetCode()))}}, "", i.GetDetails()
		resp.head.apply(i.GetHeaders())
	default:
		resp.head.apply(word.GetResponseHeaders().GetResponse().GetHeaderMutation())
	}
	s.st.CloseSend()
}

// done ends the stream of a request that is over.
func (a *asker) done(r *request) {
	if s := r.sides[a]; s != nil {
		s.hangup()
		delete(r.sides, a)
	}
}
