package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	grpcfront "cranegrade/internal/front/grpc"
	front "cranegrade/internal/front/http1"
	"cranegrade/internal/operator"
)

// rawCodec is a gRPC codec that leaves messages as they are.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }

func (rawCodec) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), data...)
	return nil
}

func (rawCodec) Name() string { return "raw" }

// grpcServer starts a server of grpc-go that calls h for every method, until the test ends.
func grpcServer(t *testing.T, h func(method string, s grpc.ServerStream) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(func(_ any, st grpc.ServerStream) error {
		method, _ := grpc.MethodFromServerStream(st)
		return h(method, st)
	}))
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(l) }()
	t.Cleanup(func() { s.Stop(); <-done })
	return l.Addr().String()
}

// grpcNode starts a node that has these gRPC servers, and returns a client of it. /t.S/Watch is a safe stream, /t.S/Order an
// unsafe one, /t.S/Send an unsafe call, /t.S/Key a keyed one; all other methods are safe calls.
func grpcNode(t *testing.T, servers ...string) (c *grpc.ClientConn, stop func()) {
	t.Helper()
	n, stop := startPlan(t, grpcPlan(t, servers), Options{
		H2:   newH2Sender,
		GRPC: func(n *Node) front.Dialect { return grpcfront.Dialect{Serving: n.Serves} },
	})
	c, err := grpc.NewClient(n.Addrs()[0].String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})), grpc.WithDisableRetry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, stop
}

// grpcPlan returns the plan of grpcNode.
func grpcPlan(t *testing.T, servers []string) operator.Plan {
	t.Helper()
	var b strings.Builder
	b.WriteString("listen_h2 = [\"127.0.0.1:0\"]\n[[pools]]\nname = \"p\"\nprotocol = \"grpc\"\nattempts = 3\n")
	for _, s := range servers {
		fmt.Fprintf(&b, "[[pools.servers]]\naddress = %q\n", s)
	}
	class := func(name, more string) {
		fmt.Fprintf(&b, "[[pools.classes]]\nname = %q\naim = \"2s\"\ndeadline = \"10s\"\n%s\n", name, more)
	}
	class("read", "effect = \"safe\"")
	class("watch", "effect = \"safe\"\nstream = true")
	class("order", "effect = \"unsafe\"\nstream = true")
	class("send", "effect = \"unsafe\"")
	class("key", "effect = \"keyed\"\nwindow = \"10s\"")
	for path, name := range map[string]string{"/t.S/Watch": "watch", "/t.S/Order": "order", "/t.S/Send": "send", "/t.S/Key": "key"} {
		fmt.Fprintf(&b, "[[routes]]\npath = %q\npool = \"p\"\nclass = %q\n", path, name)
	}
	b.WriteString("[[routes]]\nprefix = \"/t.S\"\npool = \"p\"\nclass = \"read\"\n")
	plan, err := operator.Parse("test", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// within returns the context of a call with a deadline and outgoing metadata.
func within(t *testing.T, d time.Duration, md ...string) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), md...), d)
	t.Cleanup(cancel)
	return ctx
}

// invoke makes a unary call with a text as its message.
func invoke(ctx context.Context, c *grpc.ClientConn, method, text string, o ...grpc.CallOption) (string, error) {
	in, out := []byte(text), []byte(nil)
	err := c.Invoke(ctx, method, &in, &out, o...)
	return string(out), err
}

// openServerStream opens a stream whose only request is a text.
func openServerStream(ctx context.Context, t *testing.T, c *grpc.ClientConn, method, text string) grpc.ClientStream {
	t.Helper()
	s, err := c.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, method)
	in := []byte(text)
	if err == nil {
		err = errors.Join(s.SendMsg(&in), s.CloseSend())
	}
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// openBidiStream opens a stream on which both sides send.
func openBidiStream(ctx context.Context, t *testing.T, c *grpc.ClientConn, method string) grpc.ClientStream {
	t.Helper()
	s, err := c.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, method)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// receive returns the next message of a stream.
func receive(s grpc.ClientStream) (string, error) {
	var m []byte
	err := s.RecvMsg(&m)
	return string(m), err
}

// echo answers with the message, and with the metadata that came in its header. It fails a call without a deadline.
func echo(_ string, s grpc.ServerStream) error {
	var m []byte
	if err := s.RecvMsg(&m); err != nil {
		return err
	}
	md, _ := metadata.FromIncomingContext(s.Context())
	s.SetHeader(metadata.Pairs("x-saw", strings.Join(md.Get("x-mine"), ",")))
	s.SetTrailer(metadata.Pairs("x-end", "bye", "x-raw-bin", "\x00\xff"))
	if d, has := s.Context().Deadline(); !has || time.Until(d) > 10*time.Second {
		return status.Error(codes.Internal, "no deadline came")
	}
	m = append([]byte("re: "), m...)
	return s.SendMsg(&m)
}
