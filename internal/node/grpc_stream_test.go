package node

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cranegrade/internal/testkit"
)

// TestGRPCServerStream: the messages of a server stream are forwarded one by one. From the first one on the stream belongs to its
// attempt, and ends with the server's status or a failure, never with a retry.
func TestGRPCServerStream(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	step := make(chan struct{})
	h := func(method string, s grpc.ServerStream) error {
		var m []byte
		if err := s.RecvMsg(&m); err != nil {
			return err
		}
		runs.Add(1)
		switch string(m) {
		case "steps":
			for i := range 3 {
				select {
				case <-step:
				case <-s.Context().Done():
					return s.Context().Err()
				}
				m := fmt.Appendf(nil, "m%d", i)
				if err := s.SendMsg(&m); err != nil {
					return err
				}
			}
			s.SetTrailer(metadata.Pairs("x-end", "bye"))
			return nil
		case "fail":
			one := []byte("one")
			s.SendMsg(&one)
			return status.Error(codes.DataLoss, "lost the rest")
		case "nothing":
			return status.Error(codes.Unavailable, "none yet")
		case "hang":
			one := []byte("one")
			s.SendMsg(&one)
			<-s.Context().Done()
			return s.Context().Err()
		case "much":
			big := []byte(strings.Repeat("x", 32<<10))
			for range 64 {
				if err := s.SendMsg(&big); err != nil {
					return err
				}
			}
		}
		return nil
	}
	c, _ := grpcNode(t, grpcServer(t, h), grpcServer(t, h))
	open := func(timeout time.Duration, method, text string) grpc.ClientStream {
		t.Helper()
		return openServerStream(within(t, timeout), t, c, method, text)
	}

	s := open(10*time.Second, "/t.S/Watch", "steps")
	for i := range 3 {
		step <- struct{}{} // the next is sent only after this one is received
		if m, err := receive(s); err != nil || m != fmt.Sprintf("m%d", i) {
			t.Fatalf("message %d: %q, %v", i, m, err)
		}
	}
	if _, err := receive(s); !errors.Is(err, io.EOF) || strings.Join(s.Trailer().Get("x-end"), "") != "bye" {
		t.Errorf("the end: %v, %v", err, s.Trailer())
	}

	runs.Store(0)
	s = open(10*time.Second, "/t.S/Order", "fail")
	if m, err := receive(s); m != "one" || err != nil {
		t.Errorf("%q, %v", m, err)
	}
	if _, err := receive(s); status.Code(err) != codes.DataLoss || runs.Load() != 1 {
		t.Errorf("%v after %d runs", err, runs.Load())
	}

	// Before its first message a safe stream may be retried, an unsafe one not.
	for method, want := range map[string]func(int64) bool{"/t.S/Watch": func(n int64) bool { return n >= 1 }, "/t.S/Order": func(n int64) bool { return n == 1 }} {
		runs.Store(0)
		if _, err := receive(open(10*time.Second, method, "nothing")); status.Code(err) != codes.Unavailable || !want(runs.Load()) {
			t.Errorf("%s: %v after %d runs", method, err, runs.Load())
		}
	}

	// More data than any flow-control window is forwarded completely.
	s, n := open(20*time.Second, "/t.S/Watch", "much"), 0
	for {
		m, err := receive(s)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		n += len(m)
	}
	if n != 64*(32<<10) {
		t.Errorf("%d bytes", n)
	}

	// The caller's deadline covers the whole stream.
	s = open(400*time.Millisecond, "/t.S/Watch", "hang")
	receive(s)
	if _, err := receive(s); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("past the deadline: %v", err)
	}
}

// TestGRPCBidirectionalStream: on a bidirectional stream messages go both ways to one server, and to no second one.
func TestGRPCBidirectionalStream(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	h := func(_ string, s grpc.ServerStream) error {
		runs.Add(1)
		for {
			var m []byte
			switch err := s.RecvMsg(&m); {
			case errors.Is(err, io.EOF):
				last := []byte("end")
				return s.SendMsg(&last)
			case err != nil:
				return err
			case string(m) == "break":
				return status.Error(codes.Unavailable, "broken")
			}
			if len(m) > 1000 {
				m = fmt.Appendf(nil, "%d", len(m))
			}
			if err := s.SendMsg(&m); err != nil {
				return err
			}
		}
	}
	c, _ := grpcNode(t, grpcServer(t, h), grpcServer(t, h))
	s := openBidiStream(within(t, 20*time.Second), t, c, "/t.S/Order")
	exchangeMessages := func(text, want string) {
		t.Helper()
		in, out := []byte(text), []byte(nil)
		if err := s.SendMsg(&in); err != nil {
			t.Fatal(err)
		}
		if err := s.RecvMsg(&out); err != nil || string(out) != want {
			t.Fatalf("%.20q is answered %q, %v", text, out, err)
		}
	}
	for i := range 20 {
		exchangeMessages(fmt.Sprint(i), fmt.Sprint(i))
	}
	exchangeMessages(strings.Repeat("x", 1<<20), "1048576") // more than any window and any buffer
	var out []byte
	if err := errors.Join(s.CloseSend(), s.RecvMsg(&out)); err != nil || string(out) != "end" {
		t.Errorf("the end: %q, %v", out, err)
	}
	if err := s.RecvMsg(&out); !errors.Is(err, io.EOF) || runs.Load() != 1 {
		t.Errorf("%v after %d runs", err, runs.Load())
	}
	// A failure before the first response: the caller's messages can't be sent to another server.
	runs.Store(0)
	s = openBidiStream(within(t, 20*time.Second), t, c, "/t.S/Watch")
	in := []byte("break")
	if err := s.SendMsg(&in); err != nil {
		t.Fatal(err)
	}
	if err := s.RecvMsg(&out); status.Code(err) != codes.Unavailable || runs.Load() != 1 {
		t.Errorf("%v after %d runs", err, runs.Load())
	}
	// The first message must fit into the limit for a message as a whole.
	s = openBidiStream(within(t, 20*time.Second), t, c, "/t.S/Watch")
	in = make([]byte, 80<<10)
	s.SendMsg(&in)
	if err := s.RecvMsg(&out); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("80 KiB at first: %v", err)
	}
}

// TestGRPCStalledStream: a caller stops reading one stream. The 100 other calls on its connection go on, the data that is buffered
// for it is bounded, and flow control stops its server.
func TestGRPCStalledStream(t *testing.T) {
	t.Parallel()
	var sent atomic.Int64
	stalled := make(chan struct{})
	c, _ := grpcNode(t, grpcServer(t, func(method string, s grpc.ServerStream) error {
		if method != "/t.S/Watch" {
			return echo(method, s)
		}
		var m []byte
		if err := s.RecvMsg(&m); err != nil {
			return err
		}
		big := make([]byte, 8<<10)
		for range 1000 {
			if err := s.SendMsg(&big); err != nil {
				close(stalled)
				return err
			}
			sent.Add(int64(len(big)))
		}
		return nil
	}))
	openServerStream(within(t, 20*time.Second), t, c, "/t.S/Watch", "x")
	var all sync.WaitGroup
	for i := range 100 {
		all.Go(func() {
			if got, err := invoke(within(t, 15*time.Second), c, "/t.S/Get", fmt.Sprint(i)); err != nil || got != fmt.Sprint("re: ", i) {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
	all.Wait()
	testkit.Wait(t, stalled) // the node has cancelled the stream
	// The windows of grpc-go on both sides, and the node's 64 KiB.
	if n := sent.Load(); n > 1<<20 {
		t.Errorf("%d bytes were accepted for a caller that does not read", n)
	}
}

// A drain completes the open calls, also streams, and accepts no new ones.
func TestGRPCDrainCompletesStreams(t *testing.T) {
	t.Parallel()
	step := make(chan struct{})
	c, stop := grpcNode(t, grpcServer(t, func(_ string, s grpc.ServerStream) error {
		var m []byte
		if err := s.RecvMsg(&m); err != nil {
			return err
		}
		for range 2 {
			if err := s.SendMsg(&m); err != nil {
				return err
			}
			<-step
		}
		return nil
	}))
	s := openServerStream(within(t, 20*time.Second), t, c, "/t.S/Watch", "x")
	if _, err := receive(s); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); stop() }()
	testkit.Eventually(t, "the node still takes calls", func() bool {
		_, err := invoke(within(t, time.Second), c, "/grpc.health.v1.Health/Check", "")
		return status.Code(err) == codes.Unavailable
	})
	step <- struct{}{}
	if m, err := receive(s); err != nil || m != "x" {
		t.Errorf("during the drain: %q, %v", m, err)
	}
	step <- struct{}{}
	if _, err := receive(s); !errors.Is(err, io.EOF) {
		t.Errorf("the end: %v", err)
	}
	testkit.Wait(t, stopped)
}
