package fake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// grpcClientGateway forwards HTTP/1.1 requests as gRPC calls.
type grpcClientGateway struct{ node *grpc.ClientConn }

// NewGRPCClientGateway starts a gateway that accepts HTTP/1.1 of callers and calls a node by gRPC, with the library's client. The path
// is the method, the body the only message, and the messages of the response together are its body. A rejection with RetryInfo becomes
// a 503 with Retry-After.
func NewGRPCClientGateway(node, authority string) (*Gateway, error) {
	conn, err := grpc.NewClient(node, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithAuthority(authority),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(bytesCodec{})), grpc.WithDisableRetry())
	if err != nil {
		return nil, fmt.Errorf("starting a gRPC gateway to %s: %w", node, err)
	}
	return startGateway(grpcClientGateway{conn}, false, func() { _ = conn.Close() })
}

// ServeHTTP makes one call.
func (g grpcClientGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	md := metadata.Pairs("x-method", r.Method)
	for _, name := range []string{"X-Correlation-Id", "Idempotency-Key", "X-Account", "X-Repeat"} {
		if v := r.Header.Get(name); v != "" {
			md.Set(name, v)
		}
	}
	ctx, cancel := context.WithTimeout(metadata.NewOutgoingContext(r.Context(), md), requestTimeLeft(r))
	defer cancel()
	response, err := callGRPC(ctx, g.node, r.URL.Path, body)
	if err == nil {
		_, _ = w.Write(response)
		return
	}
	writeGRPCError(w, status.Convert(err))
}

// writeGRPCError answers with the HTTP status of a call's status.
func writeGRPCError(w http.ResponseWriter, s *status.Status) {
	switch code := s.Code(); {
	case code == codes.Unavailable && len(s.Details()) > 0:
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case code == codes.Unavailable || code == codes.Canceled:
		panic(http.ErrAbortHandler) // this is how the library reports a connection that was closed
	case code == codes.Aborted:
		w.WriteHeader(http.StatusConflict)
	case code == codes.Unimplemented || code == codes.InvalidArgument:
		w.WriteHeader(http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// callGRPC makes one call and returns the messages of its response, concatenated.
func callGRPC(ctx context.Context, conn *grpc.ClientConn, method string, body []byte) (response []byte, err error) {
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, method)
	if err == nil {
		err = stream.SendMsg(&body)
	}
	if err == nil {
		err = stream.CloseSend()
	}
	if err != nil && !errors.Is(err, io.EOF) { // after io.EOF, RecvMsg returns the cause
		return nil, err
	}
	for {
		var message []byte
		switch err := stream.RecvMsg(&message); {
		case errors.Is(err, io.EOF):
			return response, nil
		case err != nil:
			return nil, err
		}
		response = append(response, message...)
	}
}

// bytesCodec passes messages as they are.
type bytesCodec struct{}

// Marshal returns the message, which is a *[]byte.
func (bytesCodec) Marshal(v any) ([]byte, error) {
	message, ok := v.(*[]byte)
	if !ok {
		return nil, fmt.Errorf("marshalling a message: %T is not *[]byte", v)
	}
	return *message, nil
}

// Unmarshal copies a message to v, which is a *[]byte.
func (bytesCodec) Unmarshal(data []byte, v any) error {
	message, ok := v.(*[]byte)
	if !ok {
		return fmt.Errorf("unmarshalling a message: %T is not *[]byte", v)
	}
	*message = bytes.Clone(data)
	return nil
}

// Name is the codec's name on the wire.
func (bytesCodec) Name() string { return "bytes" }
