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
		path           string // of the only finding; "" means there is none
		settings       ProcessorSettings
	}{
		{
			name:     "fails open",
			old:      "failure_mode_allow: false",
			new:      "failure_mode_allow: true",
			path:     filter + ".failure_mode_allow",
			settings: defaultSettings,
		},
		{
			name:     "observability mode",
			old:      "failure_mode_allow: false",
			new:      "observability_mode: true",
			path:     filter + ".observability_mode",
			settings: defaultSettings,
		},
		{
			name:     "no immediate responses",
			old:      "failure_mode_allow: false",
			new:      "disable_immediate_response: true",
			path:     filter + ".disable_immediate_response",
			settings: defaultSettings,
		},
		{
			name:     "message time-out too short",
			old:      "message_timeout: 0.2s",
			new:      "message_timeout: 0.1s",
			path:     filter + ".message_timeout",
			settings: defaultSettings,
		},
		{
			name:     "message time-out too short by default",
			old:      "message_timeout: 0.2s",
			new:      "max_message_timeout: 1s",
			path:     "",
			settings: defaultSettings,
		},
		{
			name:     "decision time-out too long",
			old:      "message_timeout: 0.2s",
			new:      "message_timeout: 0.2s",
			path:     filter + ".message_timeout",
			settings: ProcessorSettings{DecisionTimeout: 300 * time.Millisecond},
		},
		{
			name:     "request headers not sent",
			old:      "request_header_mode: SEND",
			new:      "request_header_mode: SKIP",
			path:     filter + ".processing_mode.request_header_mode",
			settings: defaultSettings,
		},
		{
			name:     "response headers not sent",
			old:      "response_header_mode: SEND",
			new:      "response_header_mode: SKIP",
			path:     filter + ".processing_mode.response_header_mode",
			settings: defaultSettings,
		},
		{
			name:     "buffers bodies",
			old:      "request_body_mode: NONE",
			new:      "request_body_mode: BUFFERED",
			path:     filter + ".processing_mode.request_body_mode",
			settings: defaultSettings,
		},
		{
			name:     "buffers bodies in part",
			old:      "request_body_mode: NONE",
			new:      "request_body_mode: BUFFERED_PARTIAL",
			path:     filter + ".processing_mode.request_body_mode",
			settings: defaultSettings,
		},
		{
			name:     "header mutation disallowed",
			old:      "allow_mode_override: true",
			new:      "mutation_rules: { disallow_all: true }",
			path:     filter + ".mutation_rules.disallow_all",
			settings: defaultSettings,
		},
		{
			name:     "trusts clients' headers",
			old:      "use_remote_address: true",
			new:      "use_remote_address: false",
			path:     hcm + ".use_remote_address",
			settings: defaultSettings,
		},
		{
			name:     "keeps clients' ids",
			old:      "use_remote_address: true",
			new:      "use_remote_address: true\n                preserve_external_request_id: true",
			path:     hcm + ".preserve_external_request_id",
			settings: defaultSettings,
		},
		{
			name:     "generates no ids",
			old:      "use_remote_address: true",
			new:      "use_remote_address: true\n                generate_request_id: false",
			path:     hcm + ".generate_request_id",
			settings: defaultSettings,
		},
		{
			name:     "retries without asking",
			old:      "timeout: 6s }",
			new:      "timeout: 6s, retry_policy: { retry_on: 5xx } }",
			path:     route + ".route.retry_policy",
			settings: defaultSettings,
		},
		{
			name:     "retries without asking on all routes",
			old:      `domains: ["*"]`,
			new:      "domains: [\"*\"]\n                      retry_policy: { retry_on: reset }",
			path:     hcm + ".route_config.virtual_hosts[0].retry_policy",
			settings: defaultSettings,
		},
		{
			name:     "hedges requests",
			old:      "timeout: 6s }",
			new:      "timeout: 6s, hedge_policy: { hedge_on_per_try_timeout: true } }",
			path:     route + ".route.hedge_policy",
			settings: defaultSettings,
		},
		{
			name:     "mirrors requests",
			old:      "timeout: 6s }",
			new:      "timeout: 6s, request_mirror_policies: [{ cluster: cranegrade }] }",
			path:     route + ".route.request_mirror_policies",
			settings: defaultSettings,
		},
		{
			name:     "unknown cluster",
			old:      "cluster: chosen,",
			new:      "cluster: elsewhere,",
			path:     route + ".route",
			settings: defaultSettings,
		},
		{
			name:     "matches the destination header",
			old:      `match: { prefix: "/" }`,
			new:      `match: { prefix: "/", headers: [{ name: X-Gateway-Destination-Endpoint, present_match: true }] }`,
			path:     route + ".match.headers[0]",
			settings: defaultSettings,
		},
		{
			name:     "ignores the destination header",
			old:      "use_http_header: true, http_header_name: x-gateway-destination-endpoint",
			new:      "use_http_header: false",
			path:     chosen + ".original_dst_lb_config.use_http_header",
			settings: defaultSettings,
		},
		{
			name:     "another header",
			old:      "http_header_name: x-gateway-destination-endpoint",
			new:      "http_header_name: x-other",
			path:     chosen + ".original_dst_lb_config.http_header_name",
			settings: defaultSettings,
		},
		{
			name:     "own load balancer",
			old:      dst,
			new:      "      type: STATIC\n      connect_timeout: 0.25s\n",
			path:     chosen,
			settings: defaultSettings,
		},
		{
			name:     "metadata not received",
			old:      dst,
			new:      override(metadata),
			path:     chosen + ".load_balancing_policy.policies[0].override_host_sources[0].metadata",
			settings: defaultSettings,
		},
		{
			name:     "header by policy",
			old:      dst,
			new:      override("{ header: x-gateway-destination-endpoint }"),
			path:     "",
			settings: defaultSettings,
		},
		{
			name:     "another header by policy",
			old:      dst,
			new:      override("{ header: x-other }"),
			path:     chosen + ".load_balancing_policy.policies[0].override_host_sources",
			settings: defaultSettings,
		},
		{
			name:     "after the router",
			old:      "                http_filters:\n",
			new:      "                http_filters:\n" + router,
			path:     hcm + ".http_filters[1]",
			settings: defaultSettings,
		},
		{
			name:     "no processor",
			old:      "type.googleapis.com/envoy.extensions.filters.http.ext_proc.v3.ExternalProcessor",
			new:      "type.googleapis.com/some.Other",
			path:     "static_resources.listeners",
			settings: defaultSettings,
		},
		{
			name: "list of endpoints as an address",
			old:  "timeout: 6s }",
			new:  "timeout: 6s }",
			path: chosen + ".type",
			settings: ProcessorSettings{
				DecisionTimeout: time.Millisecond,
				MaxFallbacks:    1,
			},
		},
		{
			name: "waits for retries that never ask",
			old:  "timeout: 6s }",
			new:  "timeout: 6s }",
			path: hcm + ".route_config.virtual_hosts[0]",
			settings: ProcessorSettings{
				DecisionTimeout: time.Millisecond,
				Retries:         true,
			},
		},
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
