package extproc

import (
	"fmt"
	"testing"
	"time"
)

// The proxy loses its stream while the request may be running at its server. A retry, before or after the linger time,
// goes only where the class allows.
func TestStreamBreaksWhileRequestRuns(t *testing.T) {
	cellOf := func(addr string) byte { return (addr[len(addr)-1] - '1') / 2 }
	for _, c := range []struct {
		class, want string // of the retry: an endpoint of the same cell, any endpoint, or a status
	}{{"order", "502"}, {"cell", "cell"}, {"all", "any"}, {"read", "any"}} {
		for _, afterLinger := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, after linger %v", c.class, afterLinger), func(t *testing.T) {
				e := newEnvironment(t, Config{
					Retries: true,
					Linger:  200 * time.Millisecond,
				}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
				first := e.openStream()
				endpoint := first.pick(c.class, "id", 1)
				first.cancel()
				if afterLinger {
					e.awaitNoOpenCalls("the slot is not returned")
				}
				retry := e.openStream()
				got := retry.pick(c.class, "id", 2)
				ok := false
				switch {
				case got == "502":
					ok = c.want == "502" || afterLinger && c.want != "any" || afterLinger && c.class == "all"
				case !isEndpoint(got):
				case c.want == "any":
					ok = true
				case c.want == "cell":
					ok = !afterLinger && cellOf(got) == cellOf(endpoint)
				}
				if !ok {
					t.Errorf("first at %s, then %s", endpoint, got)
				}
				if isEndpoint(got) {
					retry.respond("200")
				}
			})
		}
	}
}

// The retries of a proxy belong to one call, and stay within the limit of attempts over any number of streams.
func TestRetriesStayWithinLimit(t *testing.T) {
	e := newEnvironment(t, Config{
		Retries: true,
		Linger:  300 * time.Millisecond,
	}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")
	seen := map[string]bool{}
	for attempt := 1; attempt <= 5; attempt++ {
		s := e.openStream()
		got := s.pick("order", "id", attempt)
		if attempt > 3 {
			if got[:3] != "503" && got[:3] != "502" {
				t.Errorf("attempt %d goes to %s", attempt, got)
			}
			continue
		}
		if seen[got] || !isEndpoint(got) {
			t.Fatalf("attempt %d goes to %s", attempt, got)
		}
		seen[got] = true
		s.respond("503", "x-unprocessed", "1") // never ran
	}
}

func TestNoRetryOfWhatMayHaveRun(t *testing.T) {
	e := newEnvironment(t, Config{
		Retries: true,
		Linger:  300 * time.Millisecond,
	}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")
	s := e.openStream()
	s.pick("order", "other", 1)
	s.respond("500")
	if got := e.openStream().pick("order", "other", 2); got != "502" {
		t.Errorf("after an attempt that may have run: %s", got)
	}
	// Nor of a request that is not known: an earlier attempt may have run.
	for class, want := range map[string]string{"order": "502", "cell": "502"} {
		if got := e.openStream().pick(class, "unknown-"+class, 2); got != want {
			t.Errorf("%s, unknown: %s", class, got)
		}
	}
	s = e.openStream()
	if got := s.pick("all", "unknown-all", 2); !isEndpoint(got) {
		t.Errorf("key known everywhere, unknown request: %s", got)
	}
	s.respond("200")
}

const testRetryHeader = "x-again"

// The response of a failed attempt says whether there is a retry, and there is one exactly where it says so.
func TestRetryHeaderAnnouncesRetry(t *testing.T) {
	for _, c := range []struct {
		class, status, unprocessed string
		want                       string
	}{
		{"order", "503", "1", "retry"},
		{"order", "503", "0", "502"},
		{"order", "500", "0", "500"},
		{"read", "500", "0", "retry"},
		{"cell", "500", "0", "retry"},
		{"all", "503", "0", "retry"},
		{"read", "404", "0", "404"},
		{"order", "200", "0", "200"},
	} {
		t.Run(fmt.Sprintf("%s %s unprocessed %s", c.class, c.status, c.unprocessed), func(t *testing.T) {
			e := newEnvironment(t, Config{
				Retries:     true,
				RetryHeader: testRetryHeader,
				Linger:      limit,
			}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
			s := e.openStream()
			first := s.pick(c.class, "id", 1)
			got := s.respondForRetry(testRetryHeader, c.status, "x-unprocessed", c.unprocessed, testRetryHeader, "1")
			if got != c.want {
				t.Errorf("answered %s, want %s", got, c.want)
			}
			if got != "retry" {
				e.awaitNoOpenCalls("a slot is kept though there is no retry")
				return
			}
			s = e.openStream()
			if second := s.pick(c.class, "id", 2); second == first || !isEndpoint(second) {
				t.Errorf("first at %s, then %s", first, second)
			}
			s.respondForRetry(testRetryHeader, "200")
		})
	}
}

// A rejection after the last attempt would invite the client to send the request again. It must not if any attempt may
// have run, also if the last one did not.
func TestEarlierAttemptThatMayHaveRunForbidsRejection(t *testing.T) {
	e := newEnvironment(t, Config{
		Retries:     true,
		RetryHeader: testRetryHeader,
		Linger:      limit,
	}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	s := e.openStream()
	s.pick("cell", "id", 1)
	if got := s.respondForRetry(testRetryHeader, "500"); got != "retry" { // may have run, and may run again in its cell
		t.Fatalf("first attempt: %s", got)
	}
	s = e.openStream()
	if got := s.pick("cell", "id", 2); !isEndpoint(got) {
		t.Fatalf("second attempt goes to %s", got)
	}
	for attempt, got := 2, "retry"; got == "retry"; attempt++ {
		if attempt > 2 {
			s = e.openStream()
			s.pick("cell", "id", attempt)
		}
		if got = s.respondForRetry(testRetryHeader, "503", "x-unprocessed", "1"); got != "retry" && got != "502" {
			t.Errorf("attempt %d: the client gets %s, want 502", attempt, got)
		}
	}
}

func TestRetryHeaderStaysWithinLimit(t *testing.T) {
	e := newEnvironment(t, Config{
		Retries:     true,
		RetryHeader: testRetryHeader,
		Linger:      limit,
	}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")
	attempts := 0
	for got := "retry"; got == "retry"; attempts++ {
		s := e.openStream()
		s.pick("read", "id", attempts+1)
		got = s.respondForRetry(testRetryHeader, "503", "x-unprocessed", "1")
	}
	if attempts != 3 {
		t.Errorf("%d attempts, 3 are allowed", attempts)
	}
}

// Of two streams with the same id the second is rejected, unless it is the proxy's next attempt.
func TestOpenIDIsRejected(t *testing.T) {
	e := newEnvironment(t, Config{}, "127.0.0.1:1", "127.0.0.1:2")
	s := e.openStream()
	s.pick("order", "id", 1)
	if got := e.openStream().pick("order", "id", 1); got != "409" {
		t.Errorf("the same id: %s", got)
	}
	if got := e.openStream().pick("order", "id", 2); got != "502" { // the first may have run
		t.Errorf("the next attempt: %s", got)
	}
	s.respond("200") // for a request that is given up
	// Without ids requests are not told apart.
	first, second := e.openStream(), e.openStream()
	first.pick("order", "", 1)
	if got := second.pick("order", "", 1); !isEndpoint(got) {
		t.Errorf("without an id: %s", got)
	}
	first.respond("200")
	second.respond("200")
}
