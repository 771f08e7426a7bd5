package fake

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// bytesCodec passes messages as they are.
type bytesCodec struct{}

func (bytesCodec) Marshal(v any) ([]byte, error)      { return *v.(*[]byte), nil }
func (bytesCodec) Unmarshal(data []byte, v any) error { *v.(*[]byte) = bytes.Clone(data); return nil }
func (bytesCodec) Name() string                       { return "bytes" }

// TowardsGRPC is a sidecar that takes HTTP/1.1 of callers and calls a node in gRPC, with the library's client: the
// path is the method, the body the one message, and the messages of the answer together its body. A refusal with
// RetryInfo is a 503 with Retry-After.
func NewGRPCClientGateway(node, authority string) (*Gateway, error) {
	c, err := grpc.NewClient(node, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithAuthority(authority),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(bytesCodec{})), grpc.WithDisableRetry())
	if err != nil {
		return nil, fmt.Errorf("a sidecar: %w", err)
	}
	return startGateway(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		body, err := io.ReadAll(hr.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		md := metadata.Pairs("x-method", hr.Method)
		for _, name := range []string{"X-Correlation-Id", "Idempotency-Key", "X-Account", "X-Repeat"} {
			if v := hr.Header.Get(name); v != "" {
				md.Set(name, v)
			}
		}
		ctx, cancel := context.WithTimeout(metadata.NewOutgoingContext(hr.Context(), md), requestTimeLeft(hr))
		defer cancel()
		text, err := callGRPC(ctx, c, hr.URL.Path, body)
		s := status.Convert(err)
		switch code := s.Code(); {
		case code == codes.OK:
			w.Write(text)
		case code == codes.Unavailable && len(s.Details()) > 0:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case code == codes.Unavailable || code == codes.Canceled:
			panic(http.ErrAbortHandler) // the library's word for a connection that is gone
		case code == codes.Aborted:
			w.WriteHeader(http.StatusConflict)
		case code == codes.Unimplemented || code == codes.InvalidArgument:
			w.WriteHeader(http.StatusBadRequest)
		default:
			w.WriteHeader(http.StatusBadGateway)
		}
	}), false, func() { c.Close() })
}

// callGRPC makes one call and returns the messages of its answer together.
func callGRPC(ctx context.Context, c *grpc.ClientConn, method string, body []byte) (text []byte, err error) {
	s, err := c.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, method)
	if err == nil {
		err = s.SendMsg(&body)
	}
	if err == nil {
		err = s.CloseSend()
	}
	if err != nil && !errors.Is(err, io.EOF) { // io.EOF: RecvMsg tells why
		return nil, err
	}
	for {
		var m []byte
		switch err := s.RecvMsg(&m); {
		case errors.Is(err, io.EOF):
			return text, nil
		case err != nil:
			return nil, err
		}
		text = append(text, m...)
	}
}

// grpcTimeLeft reads grpc-timeout; 0 where it is none.
func grpcTimeLeft(hr *http.Request) time.Duration {
	text := hr.Header.Get("Grpc-Timeout")
	if len(text) < 2 || len(text) > 9 {
		return 0
	}
	n, err := strconv.ParseInt(text[:len(text)-1], 10, 63)
	if err != nil {
		return 0
	}
	return time.Duration(n) * map[byte]time.Duration{'n': 1, 'u': time.Microsecond, 'm': time.Millisecond, 'S': time.Second, 'M': time.Minute, 'H': time.Hour}[text[len(text)-1]]
}

// breaks are the ways in which an answer in gRPC goes wrong once the server has run the request.
var faultyAnswers = []func(w http.ResponseWriter, text []byte){
	func(w http.ResponseWriter, text []byte) { // midway
		writeMessage(w, len(text), text[:len(text)/2])
		panic(http.ErrAbortHandler)
	},
	func(w http.ResponseWriter, text []byte) { // after the first message
		writeMessage(w, len(text)/2, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	},
	func(w http.ResponseWriter, _ []byte) { // after the headers
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	},
	func(w http.ResponseWriter, text []byte) { writeMessage(w, len(text), text) }, // no status
	func(w http.ResponseWriter, text []byte) { // a length that is false
		writeMessage(w, len(text)+1, text)
		w.Header().Set(http.TrailerPrefix+"Grpc-Status", "0")
	},
	func(w http.ResponseWriter, _ []byte) { w.Header().Set("Grpc-Status", "13") }, // a status in the headers
	func(w http.ResponseWriter, text []byte) { // a failure after all of it
		writeMessage(w, len(text), text)
		w.Header().Set(http.TrailerPrefix+"Grpc-Status", strconv.Itoa(int(codes.DataLoss)))
	},
	func(w http.ResponseWriter, _ []byte) { // unable, and no word on whether it ran
		w.Header().Set("Grpc-Status", strconv.Itoa(int(codes.Internal)))
	},
}

func writeMessage(w http.ResponseWriter, length int, text []byte) {
	w.Write(append(binary.BigEndian.AppendUint32([]byte{0}, uint32(length)), text...))
	http.NewResponseController(w).Flush()
}

// BeforeGRPC is a sidecar that takes gRPC for a server that speaks HTTP/1.1: the answer's body comes in two messages.
// What fails is reset, and says nothing. A share of the answers of requests that have run goes wrong.
func NewGRPCServerGateway(server string, seed uint64, broken float64) (*Gateway, error) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0x6bc))
	onward := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return startGateway(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		body, err := io.ReadAll(hr.Body)
		if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body[1:])) != len(body)-5 {
			panic(http.ErrAbortHandler)
		}
		out, err := http.NewRequestWithContext(hr.Context(), hr.Header.Get("X-Method"), "http://"+server+hr.URL.Path, bytes.NewReader(body[5:]))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if len(body) == 5 {
			out.Body, out.ContentLength = http.NoBody, 0
		}
		out.Host = hr.Host
		for _, name := range []string{"X-Correlation-Id", "Idempotency-Key"} {
			if v := hr.Header.Get(name); v != "" {
				out.Header.Set(name, v)
			}
		}
		out.Header.Set("X-Time-Left", strconv.FormatInt(max(1, grpcTimeLeft(hr).Microseconds()), 10)+"u")
		resp, err := onward.RoundTrip(out)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/grpc")
		mu.Lock()
		goesWrong, how := rng.Float64() < broken, rng.IntN(len(faultyAnswers))
		mu.Unlock()
		switch {
		case resp.StatusCode == http.StatusOK && goesWrong && len(text) > 1:
			faultyAnswers[how](w, text)
		case resp.StatusCode == http.StatusOK:
			half := len(text) / 2
			writeMessage(w, half, text[:half])
			writeMessage(w, len(text)-half, text[half:])
			w.Header().Set(http.TrailerPrefix+"Grpc-Status", "0")
		case resp.Header.Get("X-Unprocessed") == "1":
			w.Header().Set("Grpc-Status", strconv.Itoa(int(codes.Unavailable)))
			w.Header().Set("X-Unprocessed", "1")
		default:
			w.Header().Set("Grpc-Status", strconv.Itoa(int(codes.Internal)))
		}
	}), true, onward.CloseIdleConnections)
}
