package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"

	"cranegrade/internal/envoyconf"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/fake"
)

// picker is a processor that always names the same servers, and allows one more attempt if it has a retry header.
type picker struct {
	extproc.UnimplementedExternalProcessorServer
	servers     []string
	retryHeader string
	fallbacks   bool

	mu        sync.Mutex // guards questions
	questions []*stream.Request
}

// Process answers the messages of one request's stream.
func (p *picker) Process(client extproc.ExternalProcessor_ProcessServer) error {
	s := stream.New()
	for !s.Over() {
		message, err := client.Recv()
		if err != nil {
			return nil
		}
		actions := s.Receive(message)
		for len(actions) > 0 {
			action := actions[0]
			actions = actions[1:]
			switch action := action.(type) {
			case stream.Reply:
				if err := client.Send(action.Message); err != nil {
					return nil
				}
			case stream.PickEndpoint:
				more, _ := s.Decide(p.decide(action.Request))
				actions = append(actions, more...)
			case stream.Outcome:
				if action.AwaitsRetryDecision {
					more, _ := s.DecideRetry(stream.RetryDecision{Retry: true})
					actions = append(actions, more...)
				}
			}
		}
	}
	return nil
}

// decide records a question and names the first server, or the second one for the second attempt.
func (p *picker) decide(q *stream.Request) stream.Decision {
	p.mu.Lock()
	p.questions = append(p.questions, q)
	p.mu.Unlock()
	chosen := 0
	if p.retryHeader != "" && q.Get("x-envoy-attempt-count") == "2" {
		chosen = 1
	}
	d := stream.Decision{Endpoint: p.servers[chosen], RetryHeader: p.retryHeader}
	if p.fallbacks {
		d.Fallbacks = p.servers[1:]
	}
	return d
}

// testEnvironment is a picker and two servers of one class, of which the first is down.
type testEnvironment struct {
	picker   *picker
	addr     string // of the picker
	recorder *fake.Recorder
	class    fake.Class
}

func startPicker(t *testing.T, retryHeader string) testEnvironment {
	t.Helper()
	class := fake.Class{Name: "read", Effect: fake.Safe, Deadline: 5 * time.Second}
	env := testEnvironment{picker: &picker{retryHeader: retryHeader}, recorder: fake.NewRecorder(class), class: class}
	for _, id := range []string{"a", "b"} {
		config := fake.ServerConfig{ID: id, Concurrency: 4, QueueLimit: 10, ServiceTime: time.Millisecond}
		s, err := fake.NewServer(config, env.recorder, fake.NewKeyStore())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		env.picker.servers = append(env.picker.servers, s.Addr())
		if id == "a" {
			s.Crash()
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	extproc.RegisterExternalProcessorServer(server, env.picker)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	env.addr = listener.Addr().String()
	return env
}

// newProxy returns a proxy that is closed with the test.
func (env testEnvironment) newProxy(t *testing.T, config Config) *Proxy {
	t.Helper()
	p, err := New("p", env.recorder, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// stream is the one that all requests belong to.
func (env testEnvironment) stream() fake.Stream { return fake.Stream{Class: env.class, Host: "a"} }

// The host is chosen before upstream filters run. A configuration that asks the processor in one of these gets decisions and follows none.
func TestUpstreamFilterIsTooLate(t *testing.T) {
	env := startPicker(t, "")
	text, err := os.ReadFile("../../envoyconf/testdata/upstream-filter.yaml")
	if err != nil {
		t.Fatal(err)
	}
	host, port, err := net.SplitHostPort(env.addr)
	if err != nil {
		t.Fatal(err)
	}
	yaml := strings.Replace(string(text), "address: 127.0.0.1, port_value: 9002", "address: "+host+", port_value: "+port, 1)
	p := env.newProxy(t, Config{YAML: yaml})
	x := p.Do(context.Background(), env.stream())
	if x.Status != http.StatusServiceUnavailable || p.DecisionsFollowed.Load() != 0 {
		t.Errorf("status %d, %d decisions followed; want 503 and 0", x.Status, p.DecisionsFollowed.Load())
	}
	// A caller that names a server itself gets it, whatever the processor says.
	forged := map[string]string{stream.DestinationHeader: env.picker.servers[1]}
	x = p.DoWithHeaders(context.Background(), env.stream(), "forged", forged)
	if x.Status != http.StatusOK || p.DecisionsFollowed.Load() != 1 && p.Decisions.Load() == 0 {
		t.Errorf("status %d, %d of %d decisions followed", x.Status, p.DecisionsFollowed.Load(), p.Decisions.Load())
	}
}

// Each mode follows each decision, whatever a client sends. The modes that retry reach the second server.
func TestEachModeFollowsDecisions(t *testing.T) {
	for _, c := range []struct {
		mode        envoyconf.Mode
		status      int
		attempts    int64
		questions   int
		retryHeader string
		maxRetries  int
	}{
		{envoyconf.ByHeader, http.StatusServiceUnavailable, 1, 1, "", 0},
		{envoyconf.ByMetadata, http.StatusServiceUnavailable, 1, 1, "", 0},
		{envoyconf.Fallbacks, http.StatusOK, 2, 1, "", 2},
		{envoyconf.EveryTry, http.StatusOK, 2, 2, RetryHeader, 2},
	} {
		t.Run(string(c.mode), func(t *testing.T) {
			env := startPicker(t, c.retryHeader)
			env.picker.fallbacks = c.mode == envoyconf.Fallbacks
			p := env.newProxy(t, Config{
				Processor: env.addr, Timeout: 5 * time.Second, Mode: c.mode, MaxRetries: c.maxRetries,
				Endpoints: env.picker.servers, Classes: []fake.Class{env.class},
			})
			forged := map[string]string{
				stream.DestinationHeader: "127.0.0.1:1", "x-request-id": "another's", "x-envoy-attempt-count": "7", "x-time-left": "1m",
				"x-envoy-expected-rq-timeout-ms": "1", "x-envoy-retry-on": "5xx", "x-envoy-max-retries": "9",
			}
			x := p.DoWithHeaders(context.Background(), env.stream(), "mine", forged)
			sent, followed, questions := p.UpstreamRequests.Load(), p.DecisionsFollowed.Load(), env.picker.questions
			if x.Status != c.status || sent != c.attempts || followed != c.attempts || len(questions) != c.questions {
				t.Fatalf("status %d, sent %d, followed %d, asked %d", x.Status, sent, followed, len(questions))
			}
			for i, q := range questions {
				assertNotForged(t, i, q)
				if c.mode == envoyconf.EveryTry {
					assertAttemptHeaders(t, i, q)
				}
			}
		})
	}
}

// assertNotForged checks that a question holds nothing that the client forged.
func assertNotForged(t *testing.T, i int, q *stream.Request) {
	t.Helper()
	if q.Get("x-request-id") != "mine" || q.Get(stream.DestinationHeader) != "" {
		t.Errorf("question %d: id %q, %q", i, q.Get("x-request-id"), q.Get(stream.DestinationHeader))
	}
	if q.Get("x-envoy-expected-rq-timeout-ms") == "1" || q.Get("x-time-left") == "1m" {
		t.Errorf("question %d holds the caller's time", i)
	}
}

// assertAttemptHeaders checks that a question tells which attempt it is for and how much time is left.
func assertAttemptHeaders(t *testing.T, i int, q *stream.Request) {
	t.Helper()
	isAttempt := q.Get("x-envoy-attempt-count") == strconv.Itoa(i+1)
	hasTimeLeft := strings.HasSuffix(q.Get("x-time-left"), "m") && q.Get("x-envoy-expected-rq-timeout-ms") == ""
	if !isAttempt || !hasTimeLeft {
		t.Errorf("question %d: %v", i, q.Header)
	}
}

// A per-try time-out ends an attempt without response headers, so a policy that retries on headers never retries after one.
func TestPerTryTimeoutIsNotRetried(t *testing.T) {
	env := startPicker(t, RetryHeader)
	text, err := Config{Processor: env.addr, Timeout: 5 * time.Second, MaxRetries: 2}.yaml()
	if err != nil {
		t.Fatal(err)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	env.picker.servers[0] = silent.Addr().String()
	const retries = "num_retries: 2"
	p := env.newProxy(t, Config{YAML: strings.Replace(text, retries, retries+"\n                              per_try_timeout: 0.05s", 1)})
	x := p.Do(context.Background(), env.stream())
	if x.Status != http.StatusGatewayTimeout || p.UpstreamRequests.Load() != 1 {
		t.Errorf("status %d after %d attempts; want 504 after 1", x.Status, p.UpstreamRequests.Load())
	}
}

// A configuration that is not modelled is refused and not ignored.
func TestUnmodelledConfigIsRefused(t *testing.T) {
	good, err := Config{Processor: "127.0.0.1:1", Timeout: time.Second}.yaml()
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]struct{ from, to string }{
		"filter":        {"envoy.extensions.filters.http.router.v3.Router", "envoy.extensions.filters.http.other.v3.Other"},
		"cluster":       {"type: ORIGINAL_DST\n      lb_policy: CLUSTER_PROVIDED", "type: STRICT_DNS"},
		"body mode":     {"request_body_mode: NONE", "request_body_mode: BUFFERED"},
		"retry":         {"route: { cluster: chosen,", "route: { cluster: chosen, retry_policy: { retry_on: some-day },"},
		"unknown field": {"use_remote_address", "use_remote_addr"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(good, change.from, change.to, 1)
			if text == good {
				t.Fatal("the change changes nothing")
			}
			if _, err := New("p", fake.NewRecorder(), Config{YAML: text}); err == nil {
				t.Error("the configuration was accepted")
			}
		})
	}
}
