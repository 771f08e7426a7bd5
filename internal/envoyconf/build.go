package envoyconf

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"text/template"
	"time"

	"cranegrade/internal/extproc/stream"
)

// Mode is a way for a proxy to ask.
type Mode string

// Modes.
const (
	// ByHeader is one question a request, no retries: the host is the address in the header that the processor
	// sets (a cluster of type ORIGINAL_DST).
	ByHeader Mode = "header"
	// ByMetadata is the same by dynamic metadata, for clusters whose endpoints the proxy knows (override_host).
	ByMetadata Mode = "metadata"
	// Fallbacks has the proxy go down the processor's list, for classes that are safe to repeat.
	Fallbacks Mode = "fallbacks"
	// EveryTry has each try of an outer route pass the processor behind an internal listener; the processor says
	// in the answer to a try whether there is another.
	EveryTry Mode = "every-try"
)

// Modes are all of them.
var Modes = []Mode{ByHeader, ByMetadata, Fallbacks, EveryTry}

// Names that Build uses.
const (
	everyTry      = "every-try" // the internal listener, and the cluster that leads to it
	ownTimeHeader = "x-time-left"
)

// Class is a class of requests, told by the first part of their path.
type Class struct {
	Name     string
	Deadline time.Duration
	Safe     bool // to repeat
}

// Proxy is what Build makes a proxy's configuration of. Zeros take the defaults.
type Proxy struct {
	Mode      Mode
	Listen    string // where callers connect, host:port: 127.0.0.1:10000
	Processor string // host:port
	Facts     Facts
	Classes   []Class
	Retries   int           // further tries of a request, in the modes that have any: 2
	Endpoints []string      // that the proxy knows, in the modes that need it; nil: by EDS over ADS
	Streams   int64         // questions that may be open at once; 0: the proxy's own default
	Connect   time.Duration // connect time-out: 250 ms
}

// slack is how much longer the proxy waits than the processor's file says, so that the processor's word comes
// first: of a decision, and of the request.
const slack = 50 * time.Millisecond

// Build writes the proxy's side for a processor: a bootstrap as YAML, which Check finds good.
func Build(p Proxy) ([]byte, error) {
	if !slices.Contains(Modes, p.Mode) {
		return nil, fmt.Errorf("no mode %q: one of %v", p.Mode, Modes)
	}
	if p.Mode == EveryTry != p.Facts.Retries {
		if p.Facts.Retries {
			return nil, fmt.Errorf("the processor's file has retries = true, which is for mode %s: in mode %s it would wait for tries that never ask", EveryTry, p.Mode)
		}
		return nil, fmt.Errorf("mode %s needs retries = true in the processor's file", p.Mode)
	}
	if p.Mode == EveryTry && p.Facts.RetryHeader == "" {
		return nil, fmt.Errorf("mode %s needs a retry_header in the processor's file", p.Mode)
	}
	if p.Mode != Fallbacks && p.Facts.Spares > 0 {
		return nil, fmt.Errorf("a pool of the processor's file has fallbacks = %d, which is for mode %s: elsewhere a list of servers is no address", p.Facts.Spares, Fallbacks)
	}
	if p.Mode == Fallbacks && p.Facts.Spares == 0 {
		return nil, fmt.Errorf("mode %s needs fallbacks = N in a pool of the processor's file: without it the list has one server", p.Mode)
	}
	if p.Listen == "" {
		p.Listen = "127.0.0.1:10000"
	}
	if p.Retries == 0 {
		p.Retries = 2
	}
	if p.Mode == Fallbacks {
		p.Retries = min(p.Retries, p.Facts.Spares) // past the list a host would be nobody's decision
	}
	if p.Connect == 0 {
		p.Connect = 250 * time.Millisecond
	}
	slices.SortFunc(p.Classes, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
	v := view{
		Proxy: p, Every: p.Mode == EveryTry, List: p.Mode == Fallbacks, Override: p.Mode == ByMetadata || p.Mode == Fallbacks,
		Header: Header, Served: stream.ServedHeader, Subset: stream.SubsetHeader, Namespace: Namespace, Inner: everyTry, OwnTime: ownTimeHeader,
	}
	for _, c := range p.Classes {
		v.Longest = max(v.Longest, c.Deadline)
	}
	var b strings.Builder
	if err := page.Execute(&b, v); err != nil {
		return nil, fmt.Errorf("writing the configuration: %w", err)
	}
	return []byte(b.String()), nil
}

// view is what the template sees.
type view struct {
	Proxy
	Every, List, Override                             bool
	Longest                                           time.Duration
	Header, Served, Subset, Namespace, Inner, OwnTime string
}

// Wait is the proxy's message_timeout: a little longer than the processor takes.
func (v view) Wait() string { return seconds(v.Facts.DecideWithin + slack) }

func (v view) Whole() string { return seconds(v.Longest + slack) }

// Routes are the classes with routes of their own: in mode fallbacks those that the proxy may try again.
func (v view) Routes() (l []Class) {
	for _, c := range v.Classes {
		if c.Safe && v.List {
			l = append(l, c)
		}
	}
	return l
}

func seconds(d time.Duration) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", d.Seconds()), "0"), ".") + "s"
}

func address(s string) (string, error) {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return "", fmt.Errorf("%q is no host:port", s)
	}
	return fmt.Sprintf("{ socket_address: { address: %q, port_value: %s } }", host, port), nil
}

var page = template.Must(template.New("envoy").Funcs(template.FuncMap{
	"seconds": seconds, "address": address,
	"until": func(d time.Duration) string { return seconds(d + slack) },
}).Parse(`
{{- define "asking"}}
                  - name: envoy.filters.http.ext_proc
                    typed_config:
                      "@type": type.googleapis.com/envoy.extensions.filters.http.ext_proc.v3.ExternalProcessor
                      grpc_service: { envoy_grpc: { cluster_name: cranegrade } }
                      failure_mode_allow: false # fail closed: nothing is sent that was not decided
                      message_timeout: {{.Wait}}
                      allow_mode_override: true
                      processing_mode: { request_header_mode: SEND, response_header_mode: SEND, request_body_mode: NONE,
                        response_body_mode: NONE, request_trailer_mode: SKIP, response_trailer_mode: SKIP }
                      response_attributes: ["response.code_details"]
{{- if .Override}}
                      metadata_options:
                        receiving_namespaces: { untyped: ["{{.Namespace}}"] } # lets the decision in
                        forwarding_namespaces: { untyped: ["{{.Namespace}}"] } # and tells which host was taken
{{- end}}
{{- end}}
{{- define "served"}}
                      response_headers_to_add: # which host served, for the processor
                        - header: { key: {{.Served}}, value: "%UPSTREAM_REMOTE_ADDRESS%" }
                          append_action: OVERWRITE_IF_EXISTS_OR_ADD
{{- end}}
{{- define "router"}}
                  - name: envoy.filters.http.router
                    typed_config: { "@type": type.googleapis.com/envoy.extensions.filters.http.router.v3.Router }
{{- end}}
{{- define "manager"}}
                "@type": type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager
{{- end -}}
# Written by cranegrade proxy-config -mode {{.Mode}}. docs/extproc.md says what this mode keeps and what it loses.
{{- if .Every}}
bootstrap_extensions:
  - name: envoy.bootstrap.internal_listener
    typed_config: { "@type": type.googleapis.com/envoy.extensions.bootstrap.internal_listener.v3.InternalListener }
{{- end}}
static_resources:
  listeners:
    - name: callers
      address: {{address .Listen}}
      filter_chains:
        - filters:
            - name: envoy.filters.network.http_connection_manager
              typed_config:
{{- template "manager" .}}
                stat_prefix: callers
                use_remote_address: true # callers' own x-envoy-* headers and request ids are not believed
                internal_address_config: { unix_sockets: false } # whichever network they come from
                route_config:
                  # Taken off callers' requests before any filter runs: they have no say in these.
                  internal_only_headers: ["{{.Header}}", "{{.Subset}}", "{{.OwnTime}}"]
                  virtual_hosts:
                    - name: all
                      domains: ["*"]
{{- if .Every}}
                      include_request_attempt_count: true # which try this is
                      response_headers_to_remove: ["{{.Facts.RetryHeader}}"] # between the two of us
                      request_headers_to_add:
                        # The inner listener takes x-envoy-expected-rq-timeout-ms off, as of one from outside.
                        - header: { key: {{.OwnTime}}, value: "%REQ(X-ENVOY-EXPECTED-RQ-TIMEOUT-MS)%m" }
                          append_action: OVERWRITE_IF_EXISTS_OR_ADD
                      routes:
                        - match: { prefix: "/" }
                          route:
                            cluster: {{.Inner}}
                            timeout: {{.Whole}}
                            # The processor says after each try whether there is another; the proxy carries it out.
                            retry_policy:
                              retry_on: retriable-headers
                              num_retries: {{.Retries}}
                              retriable_headers: [{ name: "{{.Facts.RetryHeader}}", present_match: true }]
                http_filters:
{{- template "router" .}}
    - name: {{.Inner}}
      internal_listener: {}
      filter_chains:
        - filters:
            - name: envoy.filters.network.http_connection_manager
              typed_config:
{{- template "manager" .}}
                stat_prefix: {{.Inner}}
                route_config:
                  virtual_hosts:
                    - name: all
                      domains: ["*"]
{{- template "served" .}}
                      routes:
                        - match: { prefix: "/" }
                          route: { cluster: chosen, timeout: {{.Whole}} }
{{- else}}
{{- template "served" .}}
{{- if .List}}
                      include_attempt_count_in_response: true # the answer tells whether a fallback was tried
{{- end}}
                      routes:
{{- range .Routes}}
                        # Safe to repeat: the list names servers for further tries.
                        - match: { prefix: "/{{.Name}}/" }
                          route:
                            cluster: chosen
                            timeout: {{until .Deadline}}
                            retry_policy: { retry_on: "connect-failure,refused-stream,reset", num_retries: {{$.Retries}} }
{{- end}}
                        # No retry policy: the filter is asked once for all tries, so a second one would be
                        # nobody's decision.
                        - match: { prefix: "/" }
                          route: { cluster: chosen, timeout: {{.Whole}} }
{{- end}}
                http_filters:
{{- template "asking" .}}
{{- template "router" .}}
  clusters:
{{- if .Override}}
    # Requests go to the hosts in the processor's metadata, in order. Past that list no host is taken.
    - name: chosen
      connect_timeout: {{seconds .Connect}}
{{- if .Endpoints}}
      type: STATIC
      load_assignment:
        cluster_name: chosen
        endpoints:
          - lb_endpoints:
{{- range .Endpoints}}
              - endpoint: { address: {{address .}} }
{{- end}}
{{- else}}
      type: EDS # the endpoints that the processor may name: add your own dynamic_resources.ads_config
      eds_cluster_config: { eds_config: { ads: {}, resource_api_version: V3 } }
{{- end}}
      load_balancing_policy:
        policies:
          - typed_extension_config:
              name: envoy.load_balancing_policies.override_host
              typed_config:
                "@type": type.googleapis.com/envoy.extensions.load_balancing_policies.override_host.v3.OverrideHost
                override_host_sources: [{ metadata: { key: {{.Namespace}}, path: [{ key: {{.Header}} }] } }]
                selected_host_key: { key: {{.Namespace}}, path: [{ key: {{.Served}} }] }
                # A subset that nothing is in: without a decision there is no host, and the answer is 503.
                fallback_policy:
                  policies:
                    - typed_extension_config:
                        name: envoy.load_balancing_policies.subset
                        typed_config:
                          "@type": type.googleapis.com/envoy.extensions.load_balancing_policies.subset.v3.Subset
                          fallback_policy: NO_FALLBACK
                          subset_lb_policy:
                            policies:
                              - typed_extension_config:
                                  name: envoy.load_balancing_policies.random
                                  typed_config: { "@type": type.googleapis.com/envoy.extensions.load_balancing_policies.random.v3.Random }
{{- else}}
    # Requests go to the address in the header that the processor sets.
    - name: chosen
      type: ORIGINAL_DST
      lb_policy: CLUSTER_PROVIDED
      connect_timeout: {{seconds .Connect}}
      original_dst_lb_config: { use_http_header: true, http_header_name: {{.Header}} }
{{- end}}
{{- if .Every}}
    - name: {{.Inner}}
      type: STATIC
      connect_timeout: {{seconds .Connect}}
      load_assignment:
        cluster_name: {{.Inner}}
        endpoints: [{ lb_endpoints: [{ endpoint: { address: { envoy_internal_address: { server_listener_name: {{.Inner}} } } } }] }]
      transport_socket:
        name: envoy.transport_sockets.internal_upstream
        typed_config:
          "@type": type.googleapis.com/envoy.extensions.transport_sockets.internal_upstream.v3.InternalUpstreamTransport
          transport_socket:
            name: envoy.transport_sockets.raw_buffer
            typed_config: { "@type": type.googleapis.com/envoy.extensions.transport_sockets.raw_buffer.v3.RawBuffer }
{{- end}}
    - name: cranegrade
      type: STATIC
      connect_timeout: {{seconds .Connect}}
{{- if .Streams}}
      circuit_breakers: { thresholds: [{ max_requests: {{.Streams}}, max_pending_requests: {{.Streams}} }] }
{{- end}}
      typed_extension_protocol_options:
        envoy.extensions.upstreams.http.v3.HttpProtocolOptions:
          "@type": type.googleapis.com/envoy.extensions.upstreams.http.v3.HttpProtocolOptions
          explicit_http_config: { http2_protocol_options: { connection_keepalive: { interval: 10s, timeout: 5s } } }
      health_checks:
        - { timeout: 1s, interval: 5s, unhealthy_threshold: 2, healthy_threshold: 1,
            grpc_health_check: { service_name: envoy.service.ext_proc.v3.ExternalProcessor } }
      load_assignment:
        cluster_name: cranegrade
        endpoints: [{ lb_endpoints: [{ endpoint: { address: {{address .Processor}} } }] }]
`))
