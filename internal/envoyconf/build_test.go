package envoyconf

import (
	"strings"
	"testing"
	"time"
)

// settingsOf are the settings of a processor for each mode.
var settingsOf = map[Mode]ProcessorSettings{
	ByHeader:   defaultSettings,
	ByMetadata: defaultSettings,
	Fallbacks:  {DecisionTimeout: defaultSettings.DecisionTimeout, MaxFallbacks: 2},
	EveryTry:   {DecisionTimeout: defaultSettings.DecisionTimeout, Retries: true, RetryHeader: "x-again"},
}

// buildText is the configuration of a mode for a processor with the settings of settingsOf.
func buildText(t testing.TB, m Mode) string {
	t.Helper()
	text, err := Build(Options{
		Mode:       m,
		Processor:  "127.0.0.1:9002",
		Settings:   settingsOf[m],
		Retries:    2,
		MaxStreams: 100,
		Endpoints:  []string{"127.0.0.1:1", "127.0.0.1:2"},
		Classes:    []Class{{"read", 2 * time.Second, true}, {"order", 6 * time.Second, false}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestBuildHasNoFindings(t *testing.T) {
	for _, m := range Modes {
		if findings, err := Check([]byte(buildText(t, m)), settingsOf[m]); err != nil || len(findings) > 0 {
			t.Errorf("%s: %v, %v", m, findings, err)
		}
	}
}

func TestBuildRejectsOptionsThatDoNotFit(t *testing.T) {
	for name, options := range map[string]Options{
		"unknown mode":            {Mode: "x", Processor: "a:1"},
		"retries in another mode": {Mode: ByHeader, Processor: "a:1", Settings: settingsOf[EveryTry]},
		"no retries":              {Mode: EveryTry, Processor: "a:1", Settings: defaultSettings},
		"no retry header": {
			Mode:      EveryTry,
			Processor: "a:1",
			Settings:  ProcessorSettings{Retries: true},
		},
		"fallbacks in another mode": {
			Mode:      ByHeader,
			Processor: "a:1",
			Settings:  ProcessorSettings{DecisionTimeout: defaultSettings.DecisionTimeout, MaxFallbacks: 2},
		},
		"no fallbacks": {Mode: Fallbacks, Processor: "a:1", Settings: defaultSettings},
		"no processor": {Mode: ByHeader, Settings: defaultSettings},
		"malformed address": {
			Mode:      ByHeader,
			Listen:    "x",
			Processor: "a:1",
			Settings:  defaultSettings,
		},
	} {
		if text, err := Build(options); err == nil {
			t.Errorf("%s: %s", name, text)
		}
	}
}

// Each fault that is put into the configuration of a mode is found first, at its path.
func TestFindsFaultsOfEachMode(t *testing.T) {
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
		{
			mode: EveryTry,
			name: "retries on its own conditions",
			old:  "retry_on: retriable-headers",
			new:  `retry_on: "retriable-headers,connect-failure"`,
			path: outer + host + ".routes[0].route.retry_policy.retry_on",
		},
		{
			mode: EveryTry,
			name: "another header",
			old:  `retriable_headers: [{ name: "x-again"`,
			new:  `retriable_headers: [{ name: "x-other"`,
			path: outer + host + ".routes[0].route.retry_policy.retriable_headers",
		},
		{
			mode: EveryTry,
			name: "retry header reaches clients",
			old:  `response_headers_to_remove: ["x-again"]`,
			new:  `response_headers_to_remove: ["x-other"]`,
			path: outer + host + ".response_headers_to_remove",
		},
		{
			mode: EveryTry,
			name: "per-try time-out",
			old:  "num_retries: 2",
			new:  "num_retries: 2\n                              per_try_timeout: 1s",
			path: outer + host + ".routes[0].route.retry_policy.per_try_timeout",
		},
		{
			mode: EveryTry,
			name: "never retries",
			old:  "retry_on: retriable-headers",
			new:  `retry_on: ""`,
			path: outer + host + ".routes[0].route.retry_policy",
		},
		{
			mode: EveryTry,
			name: "attempt count not sent",
			old:  "include_request_attempt_count: true",
			new:  "include_request_attempt_count: false",
			path: outer + host + ".include_request_attempt_count",
		},
		{
			mode: EveryTry,
			name: "trusts clients' headers",
			old:  "use_remote_address: true",
			new:  "use_remote_address: false",
			path: outer + ".use_remote_address",
		},
		{
			mode: EveryTry,
			name: "keeps clients' ids",
			old:  "use_remote_address: true",
			new:  "preserve_external_request_id: true\n                use_remote_address: true",
			path: outer + ".preserve_external_request_id",
		},
		{
			mode: EveryTry,
			name: "hedges requests",
			old:  "cluster: every-try\n",
			new:  "cluster: every-try\n                            hedge_policy: { hedge_on_per_try_timeout: true }\n",
			path: outer + host + ".routes[0].route.hedge_policy",
		},
		{
			mode: EveryTry,
			name: "retries behind the internal listener",
			old:  "route: { cluster: chosen, timeout: 6.05s }",
			new:  "route: { cluster: chosen, timeout: 6.05s, retry_policy: { retry_on: reset } }",
			path: inner + host + ".routes[0].route.retry_policy",
		},
		{
			mode: EveryTry,
			name: "no route to the internal listener",
			old:  "server_listener_name: every-try",
			new:  "server_listener_name: other",
			path: inner,
		},
		{
			mode: EveryTry,
			name: "fails open behind the internal listener",
			old:  "failure_mode_allow: false",
			new:  "failure_mode_allow: true",
			path: inner + ".http_filters[0].failure_mode_allow",
		},
		{
			mode: Fallbacks,
			name: "host beyond the list",
			old:  "fallback_policy: NO_FALLBACK",
			new:  "fallback_policy: ANY_ENDPOINT",
			path: outer + host + ".routes[0].route.retry_policy",
		},
		{
			mode: Fallbacks,
			name: "more retries than fallbacks",
			old:  "num_retries: 2",
			new:  "num_retries: 3",
			path: outer + host + ".routes[0].route.retry_policy.num_retries",
		},
		{
			mode: Fallbacks,
			name: "attempt count not in the response",
			old:  "include_attempt_count_in_response: true",
			new:  "include_attempt_count_in_response: false",
			path: outer + host + ".include_attempt_count_in_response",
		},
		{
			mode: Fallbacks,
			name: "metadata not received",
			old:  `receiving_namespaces: { untyped: ["envoy.lb"] }`,
			new:  `receiving_namespaces: { untyped: ["other"] }`,
			path: "static_resources.clusters[0].load_balancing_policy.policies[0].override_host_sources[0].metadata",
		},
		{
			mode: ByMetadata,
			name: "another namespace",
			old:  "metadata: { key: envoy.lb, path",
			new:  "metadata: { key: other, path",
			path: "static_resources.clusters[0].load_balancing_policy.policies[0].override_host_sources[0].metadata",
		},
		{
			mode: ByMetadata,
			name: "retries beyond a list of one",
			old:  "route: { cluster: chosen, timeout: 6.05s }",
			new:  "route: { cluster: chosen, timeout: 6.05s, retry_policy: { retry_on: reset, num_retries: 1 } }",
			path: outer + host + ".routes[0].route.retry_policy.num_retries",
		},
		{
			mode: ByHeader,
			name: "retries without asking",
			old:  "route: { cluster: chosen, timeout: 6.05s }",
			new:  "route: { cluster: chosen, timeout: 6.05s, retry_policy: { retry_on: reset } }",
			path: outer + host + ".routes[0].route.retry_policy",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := buildText(t, c.mode)
			if !strings.Contains(text, c.old) {
				t.Fatalf("there is no %q in\n%s", c.old, text)
			}
			findings, err := Check([]byte(strings.Replace(text, c.old, c.new, 1)), settingsOf[c.mode])
			if err != nil {
				t.Fatal(err)
			}
			if len(findings) == 0 || findings[0].Path != c.path {
				t.Errorf("found %v, want %q", findings, c.path)
			}
		})
	}
}
