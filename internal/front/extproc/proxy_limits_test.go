package extproc

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegrade/internal/testkit"
)

// Whatever proxies do, none exceeds its rate by more than one second's burst, and none has more streams than allowed.
func TestProxyLimitsProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := proxyLimits{rate: 10, streams: 3}
		now := time.Duration(0)
		requests, open := map[string]float64{}, map[string][]*proxyUsage{}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(r, "pause")) * time.Millisecond
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "id")
			if streams := open[id]; len(streams) > 0 && rapid.Bool().Draw(r, "end") {
				l.closeStream(streams[0])
				open[id] = streams[1:]
				continue
			}
			u, ok := l.openStream(now, proxyIdentity{id: id})
			if ok != (len(open[id]) < 3) {
				r.Fatalf("%s has %d streams, one more: %v", id, len(open[id]), ok)
			}
			open[id] = append(open[id], u)
			if l.takeToken(now, u) {
				requests[id]++
			}
			if most := 10 + 10*now.Seconds() + 1e-6; requests[id] > most {
				r.Fatalf("%s sent %v requests in %v", id, requests[id], now)
			}
		}
	})
}

// The identities that are kept are bounded, and those beyond the bound share one usage.
func TestInventedIdentitiesShareOneUsage(t *testing.T) {
	l := proxyLimits{rate: 1}
	for i := range 5 * maxProxies {
		now := time.Duration(i) * time.Microsecond
		u, _ := l.openStream(now, proxyIdentity{id: fmt.Sprint("invented ", i)})
		l.takeToken(now, u)
	}
	if len(l.proxies) > maxProxies+1 {
		t.Errorf("%d identities are kept", len(l.proxies))
	}
	accepted := 0
	for i := range 100 {
		const now = 30 * time.Millisecond
		if u, _ := l.openStream(now, proxyIdentity{id: fmt.Sprint("another ", i)}); l.takeToken(now, u) {
			accepted++
		}
	}
	if accepted > 1 {
		t.Errorf("%d requests of invented proxies, 1 a second is allowed", accepted)
	}
}

func TestRateLimit(t *testing.T) {
	e := newEnvironment(t, Config{Rate: 3}, "127.0.0.1:1")
	rejected := 0
	for i := range 30 {
		s := e.openStream()
		if got := s.pick("read", fmt.Sprint(i), 1); got == "503 retry-after" {
			rejected++
		} else {
			s.respond("200")
		}
	}
	if rejected == 0 {
		t.Error("no request is beyond the limit")
	}
}

func TestTokenBucket(t *testing.T) {
	l := proxyLimits{rate: 10}
	accepted, u := 0, l.usage(0, proxyIdentity{id: "a"})
	for range 20 {
		if l.takeToken(0, u) {
			accepted++
		}
	}
	if accepted != 10 || !l.takeToken(100*time.Millisecond, u) || l.takeToken(100*time.Millisecond, u) {
		t.Errorf("%d at once, want 10, and one more after 100 ms", accepted)
	}
}

// A proxy is one over all its connections, by the id that it sends. Its limit does not concern others.
func TestProxyStreamLimit(t *testing.T) {
	e := newEnvironment(t, Config{ProxyStreams: 2}, "127.0.0.1:1")
	var open []*proxyStream
	for i := range 2 {
		s := e.openStreamAs("a")
		if got := s.pick("read", fmt.Sprint("a", i), 1); got != "127.0.0.1:1" {
			t.Errorf("stream %d: %s", i, got)
		}
		open = append(open, s)
	}
	if got := e.openStreamAs("a").pick("read", "a3", 1); got != "503 retry-after" {
		t.Errorf("one too many: %s", got)
	}
	s := e.openStreamAs("b")
	if got := s.pick("read", "b", 1); got != "127.0.0.1:1" {
		t.Errorf("another proxy: %s", got)
	}
	s.respond("200")
	for _, s := range open {
		s.respond("200")
	}
	testkit.Eventually(t, "streams are not counted as ended", func() bool {
		e.front.mu.Lock()
		defer e.front.mu.Unlock()
		return e.front.limits.proxies[proxyIdentity{id: "a"}].openStreams == 0
	})
	s = e.openStreamAs("a")
	if got := s.pick("read", "a4", 1); got != "127.0.0.1:1" {
		t.Errorf("after they ended: %s", got)
	}
	s.respond("200")
}
