package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"cranegrade/internal/testkit"
)

// TestH2RequestsResetAndDrain sends requests through a node that speaks HTTP/2 on both sides: each of many streams of one connection gets one
// final answer, no request runs twice, and a drain completes what is open.
func TestH2RequestsResetAndDrain(t *testing.T) {
	t.Parallel()
	var ran sync.Map
	hold := make(chan struct{})
	server := h2Server(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Correlation-Id")
		c, _ := ran.LoadOrStore(id, new(atomic.Int64))
		c.(*atomic.Int64).Add(1)
		b, _ := io.ReadAll(r.Body)
		if strings.HasPrefix(id, "held") {
			<-hold
		}
		fmt.Fprintf(w, "%s %s %d", r.Proto, id, len(b))
	})
	addr, client, stop := h2Node(t, server)
	var all sync.WaitGroup
	for i := range 100 {
		all.Go(func() {
			id, method, class, body := fmt.Sprint("r", i), "GET", "read", []byte(nil)
			if i%2 == 0 {
				method, class, body = "POST", "order", make([]byte, 50_000)
			}
			resp, err := client.Do(h2Request(context.Background(), addr, method, class, id, body))
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			if want := fmt.Sprintf("HTTP/2.0 %s %d", id, len(body)); err != nil || resp.StatusCode == 200 && string(text) != want || resp.StatusCode != 200 && resp.StatusCode != 503 {
				t.Errorf("%s: %s %q, %v", id, resp.Status, text, err)
			}
		})
	}
	all.Wait()
	ran.Range(func(id, n any) bool {
		if n.(*atomic.Int64).Load() > 1 {
			t.Errorf("%v ran %d times", id, n.(*atomic.Int64).Load())
		}
		return true
	})
	// A request whose stream is reset after it has reached a server is not retried.
	ctx, cancel := context.WithCancel(context.Background())
	reset := make(chan error, 1)
	go func() {
		_, err := client.Do(h2Request(ctx, addr, "POST", "order", "held-reset", []byte("x")))
		reset <- err
	}()
	testkit.Eventually(t, "the request does not reach the server", func() bool { _, is := ran.Load("held-reset"); return is })
	cancel()
	if err := testkit.Wait(t, reset); err == nil {
		t.Error("a request that was reset got an answer")
	}
	// A drain completes the open request, on its connection.
	answered := make(chan string, 1)
	go func() {
		resp, err := client.Do(h2Request(context.Background(), addr, "GET", "read", "held-drain", nil))
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		answered <- string(b)
	}()
	testkit.Eventually(t, "the request does not reach the server", func() bool { _, is := ran.Load("held-drain"); return is })
	stopped := make(chan struct{})
	go func() { defer close(stopped); stop() }()
	time.AfterFunc(100*time.Millisecond, func() { close(hold) })
	if got := testkit.Wait(t, answered); got != "HTTP/2.0 held-drain 0" {
		t.Errorf("during the drain: %q", got)
	}
	<-stopped
	if c, _ := ran.Load("held-reset"); c.(*atomic.Int64).Load() != 1 {
		t.Errorf("the request that was reset ran %d times", c.(*atomic.Int64).Load())
	}
}

// An invalid request over HTTP/2 is rejected without harm to its connection.
func TestH2InvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	addr, client, _ := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) {}))
	for name, c := range map[string]struct {
		change func(r *http.Request)
		want   int
	}{
		"good":      {func(r *http.Request) {}, 200},
		"no length": {func(r *http.Request) { r.ContentLength = -1 }, 200},
		"long": {func(r *http.Request) {
			b := make([]byte, 700_000)
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), 700_000
		}, 200},
		"no id":          {func(r *http.Request) { r.Header.Del("X-Correlation-Id") }, 400},
		"no time":        {func(r *http.Request) { r.Header.Set("X-Time-Left", "soon") }, 400},
		"unknown class":  {func(r *http.Request) { r.URL.Path = "/none/x" }, 404},
		"another method": {func(r *http.Request) { r.Method = "PUT" }, 405},
	} {
		t.Run(name, func(t *testing.T) {
			r := h2Request(context.Background(), addr, "POST", "order", "x", []byte("x"))
			c.change(r)
			resp, err := client.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != c.want {
				t.Errorf("%s, want %d", resp.Status, c.want)
			}
		})
	}
}

// A caller that opens streams and resets them at once (rapid reset, CVE-2023-44487) loses its connection, and requests of
// other callers are served.
func TestH2RapidReset(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	addr, client, _ := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) { ran.Add(1) }))
	c := dialH2(t, addr)
	c.SetDeadline(time.Time{}) // the attack lasts as long as the node lets it
	go io.Copy(io.Discard, c.Conn)
	var other sync.WaitGroup
	other.Go(func() {
		for i := range 200 {
			resp, err := client.Do(h2Request(context.Background(), addr, "GET", "read", fmt.Sprint("other-", i), nil))
			if err != nil {
				t.Errorf("another caller: %v", err)
				return
			}
			resp.Body.Close()
			if resp.StatusCode != 200 && resp.StatusCode != 503 {
				t.Errorf("another caller: %s", resp.Status)
			}
		}
	})
	for id := uint32(1); id < 200_000; id += 2 {
		if c.writeHeaders(id, true, readFields(addr, fmt.Sprint("f", id), "5000m")) != nil ||
			c.framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			break // the node has closed the connection
		}
	}
	other.Wait()
}

// A plan with HTTP/2 towards servers is rejected by a program that is built without it.
func TestPlanWithH2IsRejectedWithoutIt(t *testing.T) {
	t.Parallel()
	plan := planOf(t, "default = \"p\"\n", poolOf("p", "protocol = \"h2\"\n[[pools.servers]]\naddress = \"127.0.0.1:1\""))
	if _, err := NewFromPlan(plan, Options{}); err == nil || !strings.Contains(err.Error(), ErrNoH2.Error()) {
		t.Errorf("%v", err)
	}
}

// A stream without a flow-control window stalls, and none of the 100 other streams of its connection does.
func TestH2StalledStream(t *testing.T) {
	t.Parallel()
	addr, _, _ := h2Node(t, h2Server(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "answer") }))
	c := dialH2(t, addr, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	for i := range uint32(101) {
		id := 2*i + 1
		c.writeHeaders(id, true, readFields(addr, fmt.Sprint("w", id), "5000m"))
		if id > 1 {
			c.framer.WriteWindowUpdate(id, 100)
		}
	}
	ended := map[uint32]bool{}
	for len(ended) < 100 {
		f, err := c.framer.ReadFrame()
		if err != nil {
			t.Fatalf("%d streams ended: %v", len(ended), err)
		}
		switch f := f.(type) {
		case *http2.DataFrame:
			if f.StreamID == 1 && len(f.Data()) > 0 {
				t.Fatal("data without a window")
			}
			if f.StreamEnded() && f.StreamID != 1 {
				ended[f.StreamID] = true
			}
		case *http2.MetaHeadersFrame:
			if f.StreamEnded() { // a response without a body
				ended[f.StreamID] = true
			}
		case *http2.RSTStreamFrame:
			ended[f.StreamID] = true // over the limit of concurrent streams
		}
	}
	delete(ended, 1)
	if len(ended) < 99 {
		t.Errorf("%d of 100 other streams ended", len(ended))
	}
}
