package envoyconf

import (
	"os"
	"strings"
	"testing"
	"time"
)

// defaultSettings are those of a processor that is asked once for each request.
var defaultSettings = ProcessorSettings{DecisionTimeout: 150 * time.Millisecond}

// exampleText is the configuration that is shown to operators.
func exampleText(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/examples/envoy-extproc.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExampleHasNoFindings(t *testing.T) {
	findings, err := Check([]byte(exampleText(t)), defaultSettings)
	if err != nil || len(findings) > 0 {
		t.Errorf("%v, %v", findings, err)
	}
}

// An upstream filter is asked after the host has been selected.
func TestFindsUpstreamFilter(t *testing.T) {
	text, err := os.ReadFile("testdata/upstream-filter.yaml")
	if err != nil {
		t.Fatal(err)
	}
	findings, err := Check(text, defaultSettings)
	if err != nil {
		t.Fatal(err)
	}
	const at = "static_resources.clusters[0].typed_extension_protocol_options[envoy.extensions.upstreams.http.v3.HttpProtocolOptions].http_filters[0]"
	if len(findings) != 1 || findings[0].Path != at || !strings.Contains(findings[0].Problem, "upstream filter") {
		t.Errorf("%v", findings)
	}
}

// Each fault that is put into the example is found, at its path, and nothing else is.
func TestFindsFaultsOfExample(t *testing.T) {
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
		path           string // of the only finding; "": there is none
		settings       ProcessorSettings
	}{
		{"fails open", "failure_mode_allow: false", "failure_mode_allow: true", filter + ".failure_mode_allow", defaultSettings},
		{"observability mode", "failure_mode_allow: false", "observability_mode: true", filter + ".observability_mode", defaultSettings},
		{"no immediate responses", "failure_mode_allow: false", "disable_immediate_response: true", filter + ".disable_immediate_response", defaultSettings},
		{"message time-out too short", "message_timeout: 0.2s", "message_timeout: 0.1s", filter + ".message_timeout", defaultSettings},
		{"message time-out too short by default", "message_timeout: 0.2s", "max_message_timeout: 1s", "", defaultSettings},
		{"decision time-out too long", "message_timeout: 0.2s", "message_timeout: 0.2s", filter + ".message_timeout", ProcessorSettings{DecisionTimeout: 300 * time.Millisecond}},
		{"request headers not sent", "request_header_mode: SEND", "request_header_mode: SKIP", filter + ".processing_mode.request_header_mode", defaultSettings},
		{"response headers not sent", "response_header_mode: SEND", "response_header_mode: SKIP", filter + ".processing_mode.response_header_mode", defaultSettings},
		{"buffers bodies", "request_body_mode: NONE", "request_body_mode: BUFFERED", filter + ".processing_mode.request_body_mode", defaultSettings},
		{"buffers bodies in part", "request_body_mode: NONE", "request_body_mode: BUFFERED_PARTIAL", filter + ".processing_mode.request_body_mode", defaultSettings},
		{"header mutation disallowed", "allow_mode_override: true", "mutation_rules: { disallow_all: true }", filter + ".mutation_rules.disallow_all", defaultSettings},
		{"trusts clients' headers", "use_remote_address: true", "use_remote_address: false", hcm + ".use_remote_address", defaultSettings},
		{"keeps clients' ids", "use_remote_address: true", "use_remote_address: true\n                preserve_external_request_id: true", hcm + ".preserve_external_request_id", defaultSettings},
		{"generates no ids", "use_remote_address: true", "use_remote_address: true\n                generate_request_id: false", hcm + ".generate_request_id", defaultSettings},
		{"retries without asking", "timeout: 6s }", "timeout: 6s, retry_policy: { retry_on: 5xx } }", route + ".route.retry_policy", defaultSettings},
		{"retries without asking on all routes", `domains: ["*"]`, "domains: [\"*\"]\n                      retry_policy: { retry_on: reset }", hcm + ".route_config.virtual_hosts[0].retry_policy", defaultSettings},
		{"hedges requests", "timeout: 6s }", "timeout: 6s, hedge_policy: { hedge_on_per_try_timeout: true } }", route + ".route.hedge_policy", defaultSettings},
		{"mirrors requests", "timeout: 6s }", "timeout: 6s, request_mirror_policies: [{ cluster: cranegrade }] }", route + ".route.request_mirror_policies", defaultSettings},
		{"unknown cluster", "cluster: chosen,", "cluster: elsewhere,", route + ".route", defaultSettings},
		{"matches the destination header", `match: { prefix: "/" }`, `match: { prefix: "/", headers: [{ name: X-Gateway-Destination-Endpoint, present_match: true }] }`, route + ".match.headers[0]", defaultSettings},
		{"ignores the destination header", "use_http_header: true, http_header_name: x-gateway-destination-endpoint", "use_http_header: false", chosen + ".original_dst_lb_config.use_http_header", defaultSettings},
		{"another header", "http_header_name: x-gateway-destination-endpoint", "http_header_name: x-other", chosen + ".original_dst_lb_config.http_header_name", defaultSettings},
		{"own load balancer", dst, "      type: STATIC\n      connect_timeout: 0.25s\n", chosen, defaultSettings},
		{"metadata not received", dst, override(metadata), chosen + ".load_balancing_policy.policies[0].override_host_sources[0].metadata", defaultSettings},
		{"header by policy", dst, override("{ header: x-gateway-destination-endpoint }"), "", defaultSettings},
		{"another header by policy", dst, override("{ header: x-other }"), chosen + ".load_balancing_policy.policies[0].override_host_sources", defaultSettings},
		{"after the router", "                http_filters:\n", "                http_filters:\n" + router, hcm + ".http_filters[1]", defaultSettings},
		{"no processor", "type.googleapis.com/envoy.extensions.filters.http.ext_proc.v3.ExternalProcessor", "type.googleapis.com/some.Other", "static_resources.listeners", defaultSettings},
		{"list of endpoints as an address", "timeout: 6s }", "timeout: 6s }", chosen + ".type", ProcessorSettings{DecisionTimeout: time.Millisecond, MaxFallbacks: 1}},
		{"waits for retries that never ask", "timeout: 6s }", "timeout: 6s }", hcm + ".route_config.virtual_hosts[0]", ProcessorSettings{DecisionTimeout: time.Millisecond, Retries: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := exampleText(t)
			if !strings.Contains(text, c.old) {
				t.Fatalf("the example has no %q", c.old)
			}
			findings, err := Check([]byte(strings.Replace(text, c.old, c.new, 1)), c.settings)
			if err != nil {
				t.Fatal(err)
			}
			want := 1
			if c.path == "" {
				want = 0
			}
			if len(findings) != want || want == 1 && findings[0].Path != c.path {
				t.Errorf("found %v, want %q", findings, c.path)
			}
		})
	}
}

// Text that is not a valid bootstrap gives an error and no findings.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"empty":                     "",
		"list":                      "[1, 2]",
		"unknown field":             "static_resources: { lissteners: [] }",
		"duplicate key":             "admin: {}\nadmin: {}",
		"violates validation rules": "static_resources: { clusters: [{ name: '' }] }",
		"nested too deep":           strings.Repeat("{a: ", 300) + strings.Repeat("}", 300),
		"too long":                  strings.Repeat("#", maxFileBytes+1),
		"broken yaml":               "a: [",
		"not a duration":            strings.Replace(exampleText(t), "message_timeout: 0.2s", "message_timeout: soon", 1),
	} {
		if findings, err := Check([]byte(text), defaultSettings); err == nil {
			t.Errorf("%s: no error, %v", name, findings)
		}
	}
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte(exampleText(f)))
	f.Add([]byte("static_resources: {}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		findings, err := Check(text, defaultSettings)
		if err != nil && findings != nil {
			t.Errorf("%v beside %v", findings, err)
		}
	})
}
