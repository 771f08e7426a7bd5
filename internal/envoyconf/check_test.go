package envoyconf

import (
	"os"
	"strings"
	"testing"
	"time"
)

var askedPerRequest = ProcessorSettings{DecisionTimeout: 150 * time.Millisecond}

func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/examples/envoy-extproc.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExampleIsGood(t *testing.T) {
	found, err := Check([]byte(example(t)), askedPerRequest)
	if err != nil || len(found) > 0 {
		t.Errorf("%v, %v", found, err)
	}
}

// The example of before put the processor where it answers too late.
func TestUpstreamFilter(t *testing.T) {
	text, err := os.ReadFile("testdata/upstream-filter.yaml")
	if err != nil {
		t.Fatal(err)
	}
	found, err := Check(text, askedPerRequest)
	if err != nil {
		t.Fatal(err)
	}
	const at = "static_resources.clusters[0].typed_extension_protocol_options[envoy.extensions.upstreams.http.v3.HttpProtocolOptions].http_filters[0]"
	if len(found) != 1 || found[0].Path != at || !strings.Contains(found[0].Problem, "upstream filter") {
		t.Errorf("%v", found)
	}
}

// Each change to the good example is found, at its place, and nothing else is.
func TestFaults(t *testing.T) {
	const (
		hcm    = "static_resources.listeners[0].filter_chains[0].filters[0]"
		filter = hcm + ".http_filters[0]"
		route  = hcm + ".route_config.virtual_hosts[0].routes[0]"
		chosen = "static_resources.clusters[0]"
		router = `                  - name: envoy.filters.http.router
                    typed_config: { "@type": type.googleapis.com/envoy.extensions.filters.http.router.v3.Router }
`
		dst = `      type: ORIGINAL_DST
      lb_policy: CLUSTER_PROVIDED
      connect_timeout: 0.25s
      original_dst_lb_config: { use_http_header: true, http_header_name: x-gateway-destination-endpoint }
`
	)
	override := func(source string) string {
		return `      type: EDS
      eds_cluster_config: { eds_config: { ads: {} } }
      connect_timeout: 0.25s
      load_balancing_policy:
        policies:
          - typed_extension_config:
              name: envoy.load_balancing_policies.override_host
              typed_config:
                "@type": type.googleapis.com/envoy.extensions.load_balancing_policies.override_host.v3.OverrideHost
                override_host_sources: [` + source + `]
                fallback_policy: { policies: [{ typed_extension_config: { name: none, typed_config: { "@type": type.googleapis.com/some.Policy } } }] }
`
	}
	const metadata = `{ metadata: { key: envoy.lb, path: [{ key: x-gateway-destination-endpoint }] } }`
	cases := []struct {
		name, old, new string
		path           string // of the one finding; "": none
		settings       ProcessorSettings
	}{
		{"fails open", "failure_mode_allow: false", "failure_mode_allow: true", filter + ".failure_mode_allow", askedPerRequest},
		{"observes", "failure_mode_allow: false", "observability_mode: true", filter + ".observability_mode", askedPerRequest},
		{"cannot refuse", "failure_mode_allow: false", "disable_immediate_response: true", filter + ".disable_immediate_response", askedPerRequest},
		{"words too late", "message_timeout: 0.2s", "message_timeout: 0.1s", filter + ".message_timeout", askedPerRequest},
		{"words too late by default", "message_timeout: 0.2s", "max_message_timeout: 1s", "", askedPerRequest},
		{"decides too late", "message_timeout: 0.2s", "message_timeout: 0.2s", filter + ".message_timeout", ProcessorSettings{DecisionTimeout: 300 * time.Millisecond}},
		{"asks nothing", "request_header_mode: SEND", "request_header_mode: SKIP", filter + ".processing_mode.request_header_mode", askedPerRequest},
		{"tells nothing", "response_header_mode: SEND", "response_header_mode: SKIP", filter + ".processing_mode.response_header_mode", askedPerRequest},
		{"buffers", "request_body_mode: NONE", "request_body_mode: BUFFERED", filter + ".processing_mode.request_body_mode", askedPerRequest},
		{"buffers in part", "request_body_mode: NONE", "request_body_mode: BUFFERED_PARTIAL", filter + ".processing_mode.request_body_mode", askedPerRequest},
		{"lets no header be set", "allow_mode_override: true", "mutation_rules: { disallow_all: true }", filter + ".mutation_rules.disallow_all", askedPerRequest},
		{"believes callers", "use_remote_address: true", "use_remote_address: false", hcm + ".use_remote_address", askedPerRequest},
		{"keeps callers' ids", "use_remote_address: true", "use_remote_address: true\n                preserve_external_request_id: true", hcm + ".preserve_external_request_id", askedPerRequest},
		{"makes no ids", "use_remote_address: true", "use_remote_address: true\n                generate_request_id: false", hcm + ".generate_request_id", askedPerRequest},
		{"tries again unasked", "timeout: 6s }", "timeout: 6s, retry_policy: { retry_on: 5xx } }", route + ".route.retry_policy", askedPerRequest},
		{"tries again unasked for all", `domains: ["*"]`, "domains: [\"*\"]\n                      retry_policy: { retry_on: reset }", hcm + ".route_config.virtual_hosts[0].retry_policy", askedPerRequest},
		{"hedges", "timeout: 6s }", "timeout: 6s, hedge_policy: { hedge_on_per_try_timeout: true } }", route + ".route.hedge_policy", askedPerRequest},
		{"mirrors", "timeout: 6s }", "timeout: 6s, request_mirror_policies: [{ cluster: cranegrade }] }", route + ".route.request_mirror_policies", askedPerRequest},
		{"unknown cluster", "cluster: chosen,", "cluster: elsewhere,", route + ".route", askedPerRequest},
		{"routes by our header", `match: { prefix: "/" }`, `match: { prefix: "/", headers: [{ name: X-Gateway-Destination-Endpoint, present_match: true }] }`, route + ".match.headers[0]", askedPerRequest},
		{"ignores the header", "use_http_header: true, http_header_name: x-gateway-destination-endpoint", "use_http_header: false", chosen + ".original_dst_lb_config.use_http_header", askedPerRequest},
		{"another header", "http_header_name: x-gateway-destination-endpoint", "http_header_name: x-other", chosen + ".original_dst_lb_config.http_header_name", askedPerRequest},
		{"own balancer", dst, "      type: STATIC\n      connect_timeout: 0.25s\n", chosen, askedPerRequest},
		{"metadata kept out", dst, override(metadata), chosen + ".load_balancing_policy.policies[0].override_host_sources[0].metadata", askedPerRequest},
		{"header by policy", dst, override("{ header: x-gateway-destination-endpoint }"), "", askedPerRequest},
		{"another header by policy", dst, override("{ header: x-other }"), chosen + ".load_balancing_policy.policies[0].override_host_sources", askedPerRequest},
		{"after the router", "                http_filters:\n", "                http_filters:\n" + router, hcm + ".http_filters[1]", askedPerRequest},
		{"nobody asks", "type.googleapis.com/envoy.extensions.filters.http.ext_proc.v3.ExternalProcessor", "type.googleapis.com/some.Other", "static_resources.listeners", askedPerRequest},
		{"a list is no address", "timeout: 6s }", "timeout: 6s }", chosen + ".type", ProcessorSettings{DecisionTimeout: time.Millisecond, MaxFallbacks: 1}},
		{"waits for tries that never ask", "timeout: 6s }", "timeout: 6s }", hcm + ".route_config.virtual_hosts[0]", ProcessorSettings{DecisionTimeout: time.Millisecond, Retries: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := example(t)
			if !strings.Contains(text, c.old) {
				t.Fatalf("the example has no %q", c.old)
			}
			found, err := Check([]byte(strings.Replace(text, c.old, c.new, 1)), c.settings)
			if err != nil {
				t.Fatal(err)
			}
			want := 1
			if c.path == "" {
				want = 0
			}
			if len(found) != want || want == 1 && found[0].Path != c.path {
				t.Errorf("found %v, want %q", found, c.path)
			}
		})
	}
}

var settingsOf = map[Mode]ProcessorSettings{
	ByHeader: askedPerRequest, ByMetadata: askedPerRequest, Fallbacks: {DecisionTimeout: askedPerRequest.DecisionTimeout, MaxFallbacks: 2},
	EveryTry: {DecisionTimeout: askedPerRequest.DecisionTimeout, Retries: true, RetryHeader: "x-again"},
}

func build(t testing.TB, m Mode) string {
	t.Helper()
	text, err := Build(Options{
		Mode: m, Processor: "127.0.0.1:9002", Settings: settingsOf[m], Retries: 2, MaxStreams: 100,
		Endpoints: []string{"127.0.0.1:1", "127.0.0.1:2"}, Classes: []Class{{"read", 2 * time.Second, true}, {"order", 6 * time.Second, false}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// What is built is good, in each mode; and what can't be is refused.
func TestBuild(t *testing.T) {
	for _, m := range Modes {
		if found, err := Check([]byte(build(t, m)), settingsOf[m]); err != nil || len(found) > 0 {
			t.Errorf("%s: %v, %v", m, found, err)
		}
	}
	for name, p := range map[string]Options{
		"no mode":               {Mode: "x", Processor: "a:1"},
		"retries beside":        {Mode: ByHeader, Processor: "a:1", Settings: settingsOf[EveryTry]},
		"no retries":            {Mode: EveryTry, Processor: "a:1", Settings: askedPerRequest},
		"no header":             {Mode: EveryTry, Processor: "a:1", Settings: ProcessorSettings{Retries: true}},
		"a list by header":      {Mode: ByHeader, Processor: "a:1", Settings: ProcessorSettings{DecisionTimeout: askedPerRequest.DecisionTimeout, MaxFallbacks: 2}},
		"a list of one":         {Mode: Fallbacks, Processor: "a:1", Settings: askedPerRequest},
		"no processor":          {Mode: ByHeader, Settings: askedPerRequest},
		"an address that isn't": {Mode: ByHeader, Listen: "x", Processor: "a:1", Settings: askedPerRequest},
	} {
		if text, err := Build(p); err == nil {
			t.Errorf("%s: %s", name, text)
		}
	}
}

// Each change to what is built for a mode is found, at its place.
func TestFaultsOfModes(t *testing.T) {
	const (
		outer = "static_resources.listeners[0].filter_chains[0].filters[0]"
		inner = "static_resources.listeners[1].filter_chains[0].filters[0]"
		host  = ".route_config.virtual_hosts[0]"
	)
	cases := []struct {
		mode           Mode
		name, old, new string
		path           string
	}{
		{EveryTry, "retries by itself", "retry_on: retriable-headers", `retry_on: "retriable-headers,connect-failure"`, outer + host + ".routes[0].route.retry_policy.retry_on"},
		{EveryTry, "another header", `retriable_headers: [{ name: "x-again"`, `retriable_headers: [{ name: "x-other"`, outer + host + ".routes[0].route.retry_policy.retriable_headers"},
		{EveryTry, "shows the header", `response_headers_to_remove: ["x-again"]`, `response_headers_to_remove: ["x-other"]`, outer + host + ".response_headers_to_remove"},
		{EveryTry, "cuts tries", "num_retries: 2", "num_retries: 2\n                              per_try_timeout: 1s", outer + host + ".routes[0].route.retry_policy.per_try_timeout"},
		{EveryTry, "never tries again", "retry_on: retriable-headers", `retry_on: ""`, outer + host + ".routes[0].route.retry_policy"},
		{EveryTry, "counts no tries", "include_request_attempt_count: true", "include_request_attempt_count: false", outer + host + ".include_request_attempt_count"},
		{EveryTry, "believes callers", "use_remote_address: true", "use_remote_address: false", outer + ".use_remote_address"},
		{EveryTry, "keeps callers' ids", "use_remote_address: true", "preserve_external_request_id: true\n                use_remote_address: true", outer + ".preserve_external_request_id"},
		{EveryTry, "two at once", "cluster: every-try\n", "cluster: every-try\n                            hedge_policy: { hedge_on_per_try_timeout: true }\n", outer + host + ".routes[0].route.hedge_policy"},
		{EveryTry, "retries inside as well", "route: { cluster: chosen, timeout: 6.05s }", "route: { cluster: chosen, timeout: 6.05s, retry_policy: { retry_on: reset } }", inner + host + ".routes[0].route.retry_policy"},
		{EveryTry, "leads elsewhere", "server_listener_name: every-try", "server_listener_name: other", inner},
		{EveryTry, "fails open inside", "failure_mode_allow: false", "failure_mode_allow: true", inner + ".http_filters[0].failure_mode_allow"},
		{Fallbacks, "past the list", "fallback_policy: NO_FALLBACK", "fallback_policy: ANY_ENDPOINT", outer + host + ".routes[0].route.retry_policy"},
		{Fallbacks, "more tries than servers", "num_retries: 2", "num_retries: 3", outer + host + ".routes[0].route.retry_policy.num_retries"},
		{Fallbacks, "does not tell tries", "include_attempt_count_in_response: true", "include_attempt_count_in_response: false", outer + host + ".include_attempt_count_in_response"},
		{Fallbacks, "metadata kept out", `receiving_namespaces: { untyped: ["envoy.lb"] }`, `receiving_namespaces: { untyped: ["other"] }`, "static_resources.clusters[0].load_balancing_policy.policies[0].override_host_sources[0].metadata"},
		{ByMetadata, "another namespace", "metadata: { key: envoy.lb, path", "metadata: { key: other, path", "static_resources.clusters[0].load_balancing_policy.policies[0].override_host_sources[0].metadata"},
		{ByMetadata, "tries again past a list of one", "route: { cluster: chosen, timeout: 6.05s }", "route: { cluster: chosen, timeout: 6.05s, retry_policy: { retry_on: reset, num_retries: 1 } }", outer + host + ".routes[0].route.retry_policy.num_retries"},
		{ByHeader, "tries again", "route: { cluster: chosen, timeout: 6.05s }", "route: { cluster: chosen, timeout: 6.05s, retry_policy: { retry_on: reset } }", outer + host + ".routes[0].route.retry_policy"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := build(t, c.mode)
			if !strings.Contains(text, c.old) {
				t.Fatalf("there is no %q in\n%s", c.old, text)
			}
			found, err := Check([]byte(strings.Replace(text, c.old, c.new, 1)), settingsOf[c.mode])
			if err != nil {
				t.Fatal(err)
			}
			if len(found) == 0 || found[0].Path != c.path {
				t.Errorf("found %v, want %q", found, c.path)
			}
		})
	}
}

// What is no configuration gives an error and nothing else.
func TestNoConfiguration(t *testing.T) {
	for name, text := range map[string]string{
		"empty":          "",
		"list":           "[1, 2]",
		"unknown field":  "static_resources: { listners: [] }",
		"key twice":      "admin: {}\nadmin: {}",
		"against rules":  "static_resources: { clusters: [{ name: '' }] }",
		"deep":           strings.Repeat("{a: ", 300) + strings.Repeat("}", 300),
		"too long":       strings.Repeat("#", maxFileBytes+1),
		"broken yaml":    "a: [",
		"not a duration": strings.Replace(example(t), "message_timeout: 0.2s", "message_timeout: soon", 1),
	} {
		if found, err := Check([]byte(text), askedPerRequest); err == nil {
			t.Errorf("%s: no error, %v", name, found)
		}
	}
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Add([]byte("static_resources: {}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		found, err := Check(text, askedPerRequest)
		if err != nil && found != nil {
			t.Errorf("%v beside %v", found, err)
		}
	})
}
