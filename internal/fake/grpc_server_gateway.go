package fake

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
)

// grpcPrefixBytes is the length of a message's prefix: a flag, and the length in four bytes.
const grpcPrefixBytes = 5

// grpcServerGateway accepts gRPC calls for a server that speaks HTTP/1.1.
type grpcServerGateway struct {
	server     string
	faultShare float64 // of the answers of requests that ran
	upstream   *http.Transport

	mu  sync.Mutex // guards rng
	rng *rand.Rand
}

// NewGRPCServerGateway starts a gateway that accepts gRPC for a server that speaks HTTP/1.1. The response's body is sent in two messages.
// A request that fails is reset without an answer. A share of the answers of requests that ran is broken in one of the ways of
// faultyAnswers, drawn from the seed.
func NewGRPCServerGateway(server string, seed uint64, faultShare float64) (*Gateway, error) {
	g := &grpcServerGateway{
		server: server, faultShare: faultShare, rng: rand.New(rand.NewPCG(seed, 0x6bc)),
		upstream: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
	return startGateway(g, true, g.upstream.CloseIdleConnections)
}

// ServeHTTP forwards one call.
func (g *grpcServerGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := g.upstreamRequest(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	response, err := g.upstream.RoundTrip(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	g.writeAnswer(w, response, body)
}

// upstreamRequest is the HTTP/1.1 request of a call.
func (g *grpcServerGateway) upstreamRequest(r *http.Request) (*http.Request, error) {
	message, err := readMessage(r.Body)
	if err != nil {
		return nil, err
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Header.Get("X-Method"), "http://"+g.server+r.URL.Path, bytes.NewReader(message))
	if err != nil {
		return nil, err
	}
	if len(message) == 0 {
		out.Body, out.ContentLength = http.NoBody, 0
	}
	out.Host = r.Host
	for _, name := range []string{"X-Correlation-Id", "Idempotency-Key"} {
		if v := r.Header.Get(name); v != "" {
			out.Header.Set(name, v)
		}
	}
	out.Header.Set("X-Time-Left", strconv.FormatInt(max(1, grpcTimeout(r).Microseconds()), 10)+"u")
	return out, nil
}

// readMessage reads the only message of a call.
func readMessage(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	if len(body) < grpcPrefixBytes || int(binary.BigEndian.Uint32(body[1:])) != len(body)-grpcPrefixBytes {
		return nil, errors.New("the call is not one message")
	}
	return body[grpcPrefixBytes:], nil
}

// writeAnswer answers a call with what the server answered.
func (g *grpcServerGateway) writeAnswer(w http.ResponseWriter, response *http.Response, body []byte) {
	w.Header().Set("Content-Type", "application/grpc")
	isFaulty, write := g.drawFault()
	switch {
	case response.StatusCode == http.StatusOK && isFaulty && len(body) > 1:
		write(w, body)
	case response.StatusCode == http.StatusOK:
		half := len(body) / 2
		writeMessage(w, half, body[:half])
		writeMessage(w, len(body)-half, body[half:])
		w.Header().Set(http.TrailerPrefix+"Grpc-Status", grpcStatus(codes.OK))
	case response.Header.Get("X-Unprocessed") == "1":
		w.Header().Set("Grpc-Status", grpcStatus(codes.Unavailable))
		w.Header().Set("X-Unprocessed", "1")
	default:
		w.Header().Set("Grpc-Status", grpcStatus(codes.Internal))
	}
}

// drawFault draws whether an answer is broken, and how.
func (g *grpcServerGateway) drawFault() (isFaulty bool, write faultyAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isFaulty = g.rng.Float64() < g.faultShare
	return isFaulty, faultyAnswers[g.rng.IntN(len(faultyAnswers))]
}

// faultyAnswer writes an answer in gRPC that is broken although the server has run the request.
type faultyAnswer func(w http.ResponseWriter, body []byte)

// faultyAnswers are the ways in which answers are broken. A seed draws them by their place in this list; a status without messages
// stands in it twice, which doubles its weight.
var faultyAnswers = []faultyAnswer{
	resetWithinMessage, resetAfterMessage, resetAfterHeaders, omitStatus, falsifyLength, failWithoutMessages, failAfterMessages,
	failWithoutMessages,
}

func resetWithinMessage(w http.ResponseWriter, body []byte) {
	writeMessage(w, len(body), body[:len(body)/2])
	panic(http.ErrAbortHandler)
}

func resetAfterMessage(w http.ResponseWriter, body []byte) {
	writeMessage(w, len(body)/2, body[:len(body)/2])
	panic(http.ErrAbortHandler)
}

func resetAfterHeaders(w http.ResponseWriter, _ []byte) {
	w.WriteHeader(http.StatusOK)
	flush(w)
	panic(http.ErrAbortHandler)
}

func omitStatus(w http.ResponseWriter, body []byte) { writeMessage(w, len(body), body) }

func falsifyLength(w http.ResponseWriter, body []byte) {
	writeMessage(w, len(body)+1, body)
	w.Header().Set(http.TrailerPrefix+"Grpc-Status", grpcStatus(codes.OK))
}

func failAfterMessages(w http.ResponseWriter, body []byte) {
	writeMessage(w, len(body), body)
	w.Header().Set(http.TrailerPrefix+"Grpc-Status", grpcStatus(codes.DataLoss))
}

// failWithoutMessages does not say whether the request ran.
func failWithoutMessages(w http.ResponseWriter, _ []byte) {
	w.Header().Set("Grpc-Status", grpcStatus(codes.Internal))
}

// writeMessage writes a message whose prefix claims a length, and flushes it.
func writeMessage(w http.ResponseWriter, claimedLength int, text []byte) {
	prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(claimedLength))
	_, _ = w.Write(append(prefix, text...)) // a failure is the reader's disconnect
	flush(w)
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

func grpcStatus(code codes.Code) string { return strconv.Itoa(int(code)) }

// maxTimeoutDigits is the limit of grpc-timeout's number in the protocol.
const maxTimeoutDigits = 8

// timeoutUnits are the units of grpc-timeout.
var timeoutUnits = map[byte]time.Duration{
	'n': time.Nanosecond, 'u': time.Microsecond, 'm': time.Millisecond, 'S': time.Second, 'M': time.Minute, 'H': time.Hour,
}

// grpcTimeout reads grpc-timeout; 0 if there is none or it is malformed.
func grpcTimeout(r *http.Request) time.Duration {
	text := r.Header.Get("Grpc-Timeout")
	if len(text) < 2 || len(text) > maxTimeoutDigits+1 {
		return 0
	}
	n, err := strconv.ParseInt(text[:len(text)-1], 10, 63)
	if err != nil {
		return 0
	}
	return time.Duration(n) * timeoutUnits[text[len(text)-1]]
}
