package envoyconf

import (
	"strings"
	"testing"
	"time"
)

// settingsOf are the settings of a processor for each mode.
var settingsOf = map[Mode]ProcessorSettings{
	ByHeader: defaultSettings, ByMetadata: defaultSettings, Fallbacks: {DecisionTimeout: defaultSettings.DecisionTimeout, MaxFallbacks: 2},
	EveryTry: {DecisionTimeout: defaultSettings.DecisionTimeout, Retries: true, RetryHeader: "x-again"},
}

// buildText is the configuration of a mode for a processor with the settings of settingsOf.
func buildText(t testing.TB, m Mode) string {
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

func TestBuildHasNoFindings(t *testing.T) {
	for _, m := range Modes {
		if findings, err := Check([]byte(buildText(t, m)), settingsOf[m]); err != nil || len(findings) > 0 {
			t.Errorf("%s: %v, %v", m, findings, err)
		}
	}
}

func TestBuildRejectsOptionsThatDoNotFit(t *testing.T) {
	for name, options := range map[string]Options{
		"unknown mode":              {Mode: "x", Processor: "a:1"},
		"retries in another mode":   {Mode: ByHeader, Processor: "a:1", Settings: settingsOf[EveryTry]},
		"no retries":                {Mode: EveryTry, Processor: "a:1", Settings: defaultSettings},
		"no retry header":           {Mode: EveryTry, Processor: "a:1", Settings: ProcessorSettings{Retries: true}},
		"fallbacks in another mode": {Mode: ByHeader, Processor: "a:1", Settings: ProcessorSettings{DecisionTimeout: defaultSettings.DecisionTimeout, MaxFallbacks: 2}},
		"no fallbacks":              {Mode: Fallbacks, Processor: "a:1", Settings: defaultSettings},
		"no processor":              {Mode: ByHeader, Settings: defaultSettings},
		"malformed address":         {Mode: ByHeader, Listen: "x", Processor: "a:1", Settings: defaultSettings},
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
		{EveryTry, "retries on its own conditions", "retry_on: retriable-headers", `retry_on: "retriable-headers,connect-failure"`, outer + host + ".routes[0].route.retry_policy.retry_on"},
		{EveryTry, "another header", `retriable_headers: [{ name: "x-again"`, `retriable_headers: [{ name: "x-other"`, outer + host + ".routes[0].route.retry_policy.retriable_headers"},
		{EveryTry, "retry header reaches clients", `response_headers_to_remove: ["x-again"]`, `response_headers_to_remove: ["x-other"]`, outer + host + ".response_headers_to_remove"},
		{EveryTry, "per-try time-out", "num_retries: 2", "num_retries: 2\n                              per_try_timeout: 1s", outer + host + ".routes[0].route.retry_policy.per_try_timeout"},
		{EveryTry, "never retries", "retry_on: retriable-headers", `retry_on: ""`, outer + host + ".routes[0].route.retry_policy"},
		{EveryTry, "attempt count not sent", "include_request_attempt_count: true", "include_request_attempt_count: false", outer + host + ".include_request_attempt_count"},
		{EveryTry, "trusts clients' headers", "use_remote_address: true", "use_remote_address: false", outer + ".use_remote_address"},
		{EveryTry, "keeps clients' ids", "use_remote_address: true", "preserve_external_request_id: true\n                use_remote_address: true", outer + ".preserve_external_request_id"},
		{EveryTry, "hedges requests", "cluster: every-try\n", "cluster: every-try\n                            hedge_policy: { hedge_on_per_try_timeout: true }\n", outer + host + ".routes[0].route.hedge_policy"},
		{EveryTry, "retries behind the internal listener", "route: { cluster: chosen, timeout: 6.05s }", "route: { cluster: chosen, timeout: 6.05s, retry_policy: { retry_on: reset } }", inner + host + ".routes[0].route.retry_policy"},
		{EveryTry, "no route to the internal listener", "server_listener_name: every-try", "server_listener_name: other", inner},
		{EveryTry, "fails open behind the internal listener", "failure_mode_allow: false", "failure_mode_allow: true", inner + ".http_filters[0].failure_mode_allow"},
		{Fallbacks, "host beyond the list", "fallback_policy: NO_FALLBACK", "fallback_policy: ANY_ENDPOINT", outer + host + ".routes[0].route.retry_policy"},
		{Fallbacks, "more retries than fallbacks", "num_retries: 2", "num_retries: 3", outer + host + ".routes[0].route.retry_policy.num_retries"},
		{Fallbacks, "attempt count not in the response", "include_attempt_count_in_response: true", "include_attempt_count_in_response: false", outer + host + ".include_attempt_count_in_response"},
		{Fallbacks, "metadata not received", `receiving_namespaces: { untyped: ["envoy.lb"] }`, `receiving_namespaces: { untyped: ["other"] }`, "static_resources.clusters[0].load_balancing_policy.policies[0].override_host_sources[0].metadata"},
		{ByMetadata, "another namespace", "metadata: { key: envoy.lb, path", "metadata: { key: other, path", "static_resources.clusters[0].load_balancing_policy.policies[0].override_host_sources[0].metadata"},
		{ByMetadata, "retries beyond a list of one", "route: { cluster: chosen, timeout: 6.05s }", "route: { cluster: chosen, timeout: 6.05s, retry_policy: { retry_on: reset, num_retries: 1 } }", outer + host + ".routes[0].route.retry_policy.num_retries"},
		{ByHeader, "retries without asking", "route: { cluster: chosen, timeout: 6.05s }", "route: { cluster: chosen, timeout: 6.05s, retry_policy: { retry_on: reset } }", outer + host + ".routes[0].route.retry_policy"},
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
