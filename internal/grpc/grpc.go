// Package grpc is what of gRPC over HTTP/2 (its PROTOCOL-HTTP2 document) has to be judged on the way: deadlines,
// statuses, whether messages came whole, and what an answer's end proves. It is pure, and reads no message.
package grpc

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"cranegrade/balancer"
	"cranegrade/internal/message"
)

// Code is a status.
type Code int

// Codes, as their numbers are fixed.
const (
	OK Code = iota
	Canceled
	Unknown
	InvalidArgument
	DeadlineExceeded
	NotFound
	AlreadyExists
	PermissionDenied
	ResourceExhausted
	FailedPrecondition
	Aborted
	OutOfRange
	Unimplemented
	Internal
	Unavailable
	DataLoss
	Unauthenticated
)

// IsContentType says that a request or an answer is gRPC's.
func IsContentType(s string) bool {
	rest, is := strings.CutPrefix(strings.ToLower(s), "application/grpc")
	return is && (rest == "" || rest[0] == '+' || rest[0] == ';')
}

// units of grpc-timeout.
var units = map[byte]time.Duration{'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': 1}

const maxDigits = 8

// ParseTimeout reads grpc-timeout: at most eight digits and a unit. What is longer than a Duration holds is the
// longest one; 0 is a timeout that is over.
func ParseTimeout(s string) (time.Duration, error) {
	if len(s) < 2 || len(s) > maxDigits+1 {
		return 0, fmt.Errorf("grpc-timeout %.20q is not one to eight digits and a unit", s)
	}
	unit, known := units[s[len(s)-1]]
	n, err := strconv.ParseUint(s[:len(s)-1], 10, 32)
	if err != nil || !known || s[0] == '+' {
		return 0, fmt.Errorf("grpc-timeout %q is not one to eight digits and a unit", s)
	}
	if n > uint64(math.MaxInt64/unit) {
		return math.MaxInt64, nil
	}
	return time.Duration(n) * unit, nil
}

// FormatTimeout words a duration in the finest unit that holds it in eight digits, never as more than it is but for
// the least: 1n.
func FormatTimeout(d time.Duration) string {
	for _, u := range "numSMH" {
		if n := d / units[byte(u)]; n < 100_000_000 {
			return strconv.FormatInt(int64(max(n, 1)), 10) + string(u)
		}
	}
	return "99999999H"
}

// EncodeMessage words a grpc-message: what is not printable ASCII, and '%', as %XX.
func EncodeMessage(s string) string {
	var b strings.Builder
	for i := range len(s) {
		if c := s[i]; c >= ' ' && c <= '~' && c != '%' {
			b.WriteByte(c)
		} else {
			fmt.Fprintf(&b, "%%%02X", c)
		}
	}
	return b.String()
}

// Status is the fields that end an answer of ours. A retry advice makes it google.rpc.RetryInfo among the details.
func Status(c Code, text string, retry time.Duration) []message.Field {
	l := []message.Field{{Name: "grpc-status", Value: strconv.Itoa(int(c))}, {Name: "grpc-message", Value: EncodeMessage(text)}}
	if retry <= 0 {
		return l
	}
	info, err := anypb.New(&errdetails.RetryInfo{RetryDelay: durationpb.New(retry)})
	if err != nil {
		return l // what it is made of is ours and always fits
	}
	whole, err := proto.Marshal(&status.Status{Code: int32(c), Message: text, Details: []*anypb.Any{info}})
	if err != nil {
		return l
	}
	return append(l, message.Field{Name: "grpc-status-details-bin", Value: base64.RawStdEncoding.EncodeToString(whole)})
}

// OfHTTP is the status for a request that was turned away with one of HTTP before a module heard of it.
func OfHTTP(code int) Code {
	switch code {
	case 400:
		return InvalidArgument
	case 401:
		return Unauthenticated
	case 403:
		return PermissionDenied
	case 404, 405, 501:
		return Unimplemented
	case 409:
		return Aborted
	case 413:
		return ResourceExhausted
	case 429, 502, 503, 504:
		return Unavailable
	}
	return Internal
}

// prefix is what stands before each message: a flag and a length.
const prefix = 5

// Messages counts the length-prefixed messages that b is made of. It is an error if the last does not end with it,
// or a flag is none.
func Messages(b []byte) (n int, err error) {
	var s Scanner
	if err := s.Take(b); err != nil {
		return 0, err
	}
	return s.Count, s.End()
}

// Scanner follows the messages of a body that comes in pieces. It holds none of them.
type Scanner struct {
	Count int // messages that came whole
	head  [prefix]byte
	got   int    // bytes of the prefix
	left  uint32 // bytes of the message that are to come
}

// Take takes the next piece.
func (s *Scanner) Take(b []byte) error {
	for len(b) > 0 {
		if s.got < prefix {
			n := copy(s.head[s.got:], b)
			s.got += n
			b = b[n:]
			if s.head[0] > 1 {
				return fmt.Errorf("message %d has the flag %d", s.Count, s.head[0])
			}
			if s.got < prefix {
				return nil
			}
			s.left = binary.BigEndian.Uint32(s.head[1:])
		}
		n := min(int64(s.left), int64(len(b)))
		s.left -= uint32(n)
		b = b[n:]
		if s.left == 0 {
			s.Count++
			s.got = 0
		}
	}
	return nil
}

// End says whether what came ends where a message does.
func (s *Scanner) End() error {
	if s.got != 0 {
		return fmt.Errorf("message %d broke off, %d bytes before its end", s.Count, int64(s.left)+prefix-int64(s.got))
	}
	return nil
}

// Answer is a server's whole answer.
type Answer struct {
	Status          int // of HTTP
	Header, Trailer []message.Field
	Messages        Scanner // over its body
	Garbled         bool    // the body is not made of messages
}

// Verdict is what an answer means.
type Verdict struct {
	Ending balancer.Ending
	Code   Code
	Fields []message.Field // grpc-status and what goes with it, and the trailing metadata; nil: it told no status
}

// Begins says that an answer with this status and header is one of gRPC, whose messages may be passed on.
func Begins(status int, header []message.Field) bool {
	for _, f := range header {
		if f.Name == "content-type" {
			return status == 200 && IsContentType(f.Value)
		}
	}
	return false
}

// Judge says what an answer means to the module and to the caller. What the method itself says, that an argument is
// bad or a thing not there, is the service at work: a Success, which is passed on. What says that the server is not
// able is a Failure, and may be tried elsewhere as the class allows; but with x-unprocessed: 1, as on HTTP/1.1, it
// never ran. Without a status nobody knows.
func Judge(a Answer) Verdict {
	fields := a.Trailer
	if fields == nil {
		fields = a.Header // Trailers-Only: one block of fields is the whole answer
	}
	text, unprocessed, n := "", false, 0
	for _, f := range fields {
		switch f.Name {
		case "grpc-status":
			text = f.Value
			n++
		case "x-unprocessed":
			unprocessed = f.Value == "1"
		}
	}
	code, err := strconv.ParseUint(text, 10, 8)
	if !Begins(a.Status, a.Header) || n != 1 || err != nil {
		v := Verdict{Ending: balancer.Failure, Code: Unknown}
		if a.Status == 503 && unprocessed {
			v.Ending = balancer.Overloaded
		}
		return v
	}
	v := Verdict{Ending: balancer.Success, Code: Code(code), Fields: fields}
	switch {
	case a.Garbled || v.Code == OK && a.Messages.End() != nil:
		return Verdict{Ending: balancer.Failure, Code: Internal}
	case unprocessed && a.Messages.Count == 0 && a.Messages.End() == nil && (v.Code == Unavailable || v.Code == ResourceExhausted):
		v.Ending = balancer.Overloaded
	case v.Code == Unknown, v.Code == DeadlineExceeded, v.Code == ResourceExhausted, v.Code == Internal, v.Code == Unavailable,
		v.Code == DataLoss, v.Code > Unauthenticated:
		v.Ending = balancer.Failure
	}
	return v
}
