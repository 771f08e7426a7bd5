package proxy

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"

	"cranegrade/internal/envoyconf"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/standin"
)

// picker is a processor that always names the same list, and allows one more try if a retry header is told.
type picker struct {
	extproc.UnimplementedExternalProcessorServer
	list      []string
	retry     string
	fallbacks bool

	mu  sync.Mutex // guards saw
	saw []*stream.Request
}

func (k *picker) Process(st extproc.ExternalProcessor_ProcessServer) error {
	s := stream.New()
	for !s.Over() {
		m, err := st.Recv()
		if err != nil {
			return nil
		}
		l := s.Receive(m)
		for len(l) > 0 {
			a := l[0]
			l = l[1:]
			switch a := a.(type) {
			case stream.Reply:
				st.Send(a.Message)
			case stream.PickEndpoint:
				k.mu.Lock()
				k.saw = append(k.saw, a.Request)
				k.mu.Unlock()
				// Of two servers the second is named for the second try.
				n := 0
				if k.retry != "" && a.Request.Get("x-envoy-attempt-count") == "2" {
					n = 1
				}
				d := stream.Decision{Endpoint: k.list[n], RetryHeader: k.retry}
				if k.fallbacks {
					d.Fallbacks = k.list[1:]
				}
				more, _ := s.Decide(d)
				l = append(l, more...)
			case stream.Outcome:
				if a.AwaitsRetryDecision {
					more, _ := s.DecideRetry(stream.RetryDecision{Retry: true})
					l = append(l, more...)
				}
			}
		}
	}
	return nil
}

// rig is a picker and servers of one class, of which the first is down.
func rig(t *testing.T, retry string) (k *picker, addr string, rec *standin.Records, class standin.Class) {
	t.Helper()
	class = standin.Class{Name: "read", Effect: standin.Safe, Deadline: 5 * time.Second}
	rec = standin.NewRecords(class)
	k = &picker{retry: retry}
	for _, id := range []string{"a", "b"} {
		s, err := standin.NewServer(standin.ServerConfig{ID: id, Slots: 4, Queue: 10, Work: time.Millisecond}, rec, standin.NewKeys())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		k.list = append(k.list, s.Addr())
		if id == "a" {
			s.Crash()
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer()
	extproc.RegisterExternalProcessorServer(srv, k)
	go srv.Serve(l)
	t.Cleanup(srv.Stop)
	return k, l.Addr().String(), rec, class
}

// In the real order the host is chosen before upstream filters run: the configuration of before, in which the
// processor was one of these, gets decisions and heeds none.
func TestUpstreamFilterIsTooLate(t *testing.T) {
	k, addr, rec, class := rig(t, "")
	text, err := os.ReadFile("../../envoyconf/testdata/upstream-filter.yaml")
	if err != nil {
		t.Fatal(err)
	}
	host, port, _ := net.SplitHostPort(addr)
	yaml := strings.Replace(string(text), "address: 127.0.0.1, port_value: 9002", "address: "+host+", port_value: "+port, 1)
	p, err := New("p", rec, Config{YAML: yaml})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	x := p.Do(context.Background(), standin.Stream{Class: class, Host: "a"})
	if x.Status != 503 || p.Heeded.Load() != 0 {
		t.Errorf("status %d, %d heeded", x.Status, p.Heeded.Load())
	}
	// A caller who names a server himself gets it, whatever the processor says.
	x = p.DoWith(context.Background(), standin.Stream{Class: class, Host: "a"}, "forged", map[string]string{stream.DestinationHeader: k.list[1]})
	if x.Status != 200 || p.Heeded.Load() != 1 && p.Decisions.Load() == 0 {
		t.Errorf("status %d, heeded %d of %d decisions", x.Status, p.Heeded.Load(), p.Decisions.Load())
	}
}

// Each mode heeds each decision, whatever a client sends; those that try again get to the second server.
func TestModes(t *testing.T) {
	for _, c := range []struct {
		mode    envoyconf.Mode
		status  int
		sent    int64
		asked   int
		retry   string
		retries int
	}{{envoyconf.ByHeader, 503, 1, 1, "", 0}, {envoyconf.ByMetadata, 503, 1, 1, "", 0}, {envoyconf.Fallbacks, 200, 2, 1, "", 2}, {envoyconf.EveryTry, 200, 2, 2, RetryHeader, 2}} {
		t.Run(string(c.mode), func(t *testing.T) {
			k, addr, rec, class := rig(t, c.retry)
			k.fallbacks = c.mode == envoyconf.Fallbacks
			p, err := New("p", rec, Config{Processor: addr, Timeout: 5 * time.Second, Mode: c.mode, Retries: c.retries, Endpoints: k.list, Classes: []standin.Class{class}})
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			forged := map[string]string{
				stream.DestinationHeader: "127.0.0.1:1", "x-request-id": "another's", "x-envoy-attempt-count": "7", "x-time-left": "1m",
				"x-envoy-expected-rq-timeout-ms": "1", "x-envoy-retry-on": "5xx", "x-envoy-max-retries": "9",
			}
			x := p.DoWith(context.Background(), standin.Stream{Class: class, Host: "a"}, "mine", forged)
			if x.Status != c.status || p.Sent.Load() != c.sent || p.Heeded.Load() != c.sent || len(k.saw) != c.asked {
				t.Fatalf("status %d, sent %d, heeded %d, asked %d", x.Status, p.Sent.Load(), p.Heeded.Load(), len(k.saw))
			}
			for i, q := range k.saw {
				if q.Get("x-request-id") != "mine" || q.Get(stream.DestinationHeader) != "" {
					t.Errorf("question %d: id %q, %q", i, q.Get("x-request-id"), q.Get(stream.DestinationHeader))
				}
				if q.Get("x-envoy-expected-rq-timeout-ms") == "1" || q.Get("x-time-left") == "1m" {
					t.Errorf("question %d believes the caller's time", i)
				}
				if c.mode == envoyconf.EveryTry && (q.Get("x-envoy-attempt-count") != string(rune('1'+i)) || !strings.HasSuffix(q.Get("x-time-left"), "m") || q.Get("x-envoy-expected-rq-timeout-ms") != "") {
					t.Errorf("question %d: %v", i, q.Header)
				}
			}
		})
	}
}

// A per-try time-out ends a try without headers, so that a policy on headers never tries again.
func TestPerTryTimeout(t *testing.T) {
	k, addr, rec, class := rig(t, RetryHeader)
	text, err := Config{Processor: addr, Timeout: 5 * time.Second, Retries: 2}.yaml()
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	k.list[0] = l.Addr().String()
	p, err := New("p", rec, Config{YAML: strings.Replace(text, "num_retries: 2", "num_retries: 2\n                              per_try_timeout: 0.05s", 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if x := p.Do(context.Background(), standin.Stream{Class: class, Host: "a"}); x.Status != 504 || p.Sent.Load() != 1 {
		t.Errorf("status %d after %d tries", x.Status, p.Sent.Load())
	}
}

// What is not modelled is refused, not passed over.
func TestRefused(t *testing.T) {
	good, err := Config{Processor: "127.0.0.1:1", Timeout: time.Second}.yaml()
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][2]string{
		"filter":    {"envoy.extensions.filters.http.router.v3.Router", "envoy.extensions.filters.http.other.v3.Other"},
		"cluster":   {"type: ORIGINAL_DST\n      lb_policy: CLUSTER_PROVIDED", "type: STRICT_DNS"},
		"body mode": {"request_body_mode: NONE", "request_body_mode: BUFFERED"},
		"retry":     {"route: { cluster: chosen,", "route: { cluster: chosen, retry_policy: { retry_on: some-day },"},
		"no field":  {"use_remote_address", "use_remote_adress"},
	} {
		text := strings.Replace(good, change[0], change[1], 1)
		if text == good {
			t.Fatalf("%s: nothing changed", name)
		}
		if _, err := New("p", standin.NewRecords(), Config{YAML: text}); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
