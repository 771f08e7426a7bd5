package grpc

import (
	"encoding/base64"
	"math"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cranegrade/balancer"
	"cranegrade/internal/message"
)

func TestParseTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1H":        time.Hour,
		"90M":       90 * time.Minute,
		"5S":        5 * time.Second,
		"250m":      250 * time.Millisecond,
		"10u":       10 * time.Microsecond,
		"0n":        0,
		"00000007n": 7,
		"99999999H": math.MaxInt64,
	} {
		if d, err := ParseTimeout(text); err != nil || d != want {
			t.Errorf("%s: %v, %v", text, d, err)
		}
	}
	for _, text := range []string{"", "S", "5", "5s", "-5S", "+5S", "5 S", "123456789n", "1.5S", "5Sm", "0x1S"} {
		if d, err := ParseTimeout(text); err == nil {
			t.Errorf("%q is parsed as %v", text, d)
		}
	}
}

// Formatting and parsing a timeout never lengthens it, and shortens one below an hour by at most 1 part in 10,000 plus 1 ns.
func TestTimeoutRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(1, math.MaxInt64).Draw(t, "d"))
		got, err := ParseTimeout(FormatTimeout(d))
		if err != nil || got > d || float64(d-got) > float64(d)/1e4+1 && d < time.Hour {
			t.Fatalf("%v formatted as %s is parsed as %v, %v", d, FormatTimeout(d), got, err)
		}
	})
}

// frame returns a message of n zero bytes with its prefix.
func frame(flag byte, n int) []byte {
	return append([]byte{flag, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, make([]byte, n)...)
}

// The scanner counts the same messages however a body is split into chunks, and End fails unless the body ends on a boundary.
func TestScannerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var body []byte
		lengths := rapid.SliceOfN(rapid.IntRange(0, 300), 0, 8).Draw(t, "lengths")
		for _, n := range lengths {
			body = append(body, frame(byte(n%2), n)...)
		}
		cut := rapid.IntRange(0, len(body)).Draw(t, "end")
		var s Scanner
		complete := 0 // messages
		offset := 0
		for _, n := range lengths {
			if offset += 5 + n; offset <= cut {
				complete++
			}
		}
		for rest := body[:cut]; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
			if err := s.Scan(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		offset = 0
		onBoundary := cut == 0
		for _, n := range lengths {
			offset += 5 + n
			onBoundary = onBoundary || offset == cut
		}
		if s.Count != complete || (s.End() == nil) != onBoundary {
			t.Fatalf("%d messages of %v in %d bytes, want %d; %v", s.Count, lengths, cut, complete, s.End())
		}
	})
}

// fields returns fields of these names and values; not nil.
func fields(pairs ...string) (l []message.Field) {
	l = []message.Field{}
	for i := 0; i < len(pairs); i += 2 {
		l = append(l, message.Field{Name: pairs[i], Value: pairs[i+1]})
	}
	return l
}

// Classify returns the ending for the balancer, and the code and status fields for the caller.
func TestClassify(t *testing.T) {
	head := fields("content-type", "application/grpc+proto")
	body := func(b ...byte) (s Scanner) { s.Scan(b); return s }
	one := body(frame(0, 3)...)
	for name, c := range map[string]struct {
		response  Response
		ending    balancer.Ending
		code      Code
		hasStatus bool
	}{
		"OK": {
			response:  Response{200, head, fields("grpc-status", "0"), one, false},
			ending:    balancer.Success,
			code:      OK,
			hasStatus: true,
		},
		"NOT_FOUND": {
			response:  Response{200, head, fields("grpc-status", "5"), Scanner{}, false},
			ending:    balancer.Success,
			code:      NotFound,
			hasStatus: true,
		},
		"Trailers-Only": {
			response:  Response{200, fields("content-type", "application/grpc", "grpc-status", "3"), nil, Scanner{}, false},
			ending:    balancer.Success,
			code:      InvalidArgument,
			hasStatus: true,
		},
		"UNAVAILABLE": {
			response:  Response{200, head, fields("grpc-status", "14"), Scanner{}, false},
			ending:    balancer.Failure,
			code:      Unavailable,
			hasStatus: true,
		},
		"UNAVAILABLE, unprocessed": {
			response:  Response{200, head, fields("grpc-status", "14", "x-unprocessed", "1"), Scanner{}, false},
			ending:    balancer.Overloaded,
			code:      Unavailable,
			hasStatus: true,
		},
		"UNAVAILABLE, unprocessed, with messages": {
			response:  Response{200, head, fields("grpc-status", "14", "x-unprocessed", "1"), one, false},
			ending:    balancer.Failure,
			code:      Unavailable,
			hasStatus: true,
		},
		"INTERNAL, unprocessed": {
			response:  Response{200, head, fields("grpc-status", "13", "x-unprocessed", "1"), Scanner{}, false},
			ending:    balancer.Failure,
			code:      Internal,
			hasStatus: true,
		},
		"trailers without a status": {
			response:  Response{200, head, fields("x", "y"), one, false},
			ending:    balancer.Failure,
			code:      Unknown,
			hasStatus: false,
		},
		"no trailers, no status": {
			response:  Response{200, head, nil, one, false},
			ending:    balancer.Failure,
			code:      Unknown,
			hasStatus: false,
		},
		"two statuses": {
			response:  Response{200, head, fields("grpc-status", "0", "grpc-status", "0"), one, false},
			ending:    balancer.Failure,
			code:      Unknown,
			hasStatus: false,
		},
		"status is no number": {
			response:  Response{200, head, fields("grpc-status", "ok"), one, false},
			ending:    balancer.Failure,
			code:      Unknown,
			hasStatus: false,
		},
		"undefined status": {
			response:  Response{200, head, fields("grpc-status", "77"), Scanner{}, false},
			ending:    balancer.Failure,
			code:      77,
			hasStatus: true,
		},
		"OK with an incomplete message": {
			response:  Response{200, head, fields("grpc-status", "0"), body(frame(0, 3)[:6]...), false},
			ending:    balancer.Failure,
			code:      Internal,
			hasStatus: false,
		},
		"OK with a malformed body": {
			response:  Response{200, head, fields("grpc-status", "0"), Scanner{}, true},
			ending:    balancer.Failure,
			code:      Internal,
			hasStatus: false,
		},
		"another content type": {
			response:  Response{200, fields("content-type", "text/html"), fields("grpc-status", "0"), one, false},
			ending:    balancer.Failure,
			code:      Unknown,
			hasStatus: false,
		},
		"503": {
			response:  Response{503, fields("content-type", "text/plain"), nil, Scanner{}, false},
			ending:    balancer.Failure,
			code:      Unknown,
			hasStatus: false,
		},
		"503, unprocessed": {
			response:  Response{503, fields("x-unprocessed", "1"), nil, Scanner{}, false},
			ending:    balancer.Overloaded,
			code:      Unknown,
			hasStatus: false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := Classify(c.response)
			if v.Ending != c.ending || v.Code != c.code || (v.Fields != nil) != c.hasStatus {
				t.Errorf("%+v", v)
			}
		})
	}
}

// The status details are an encoded google.rpc.Status with RetryInfo, which gRPC libraries can decode.
func TestStatusHasRetryInfo(t *testing.T) {
	fields := StatusFields(Unavailable, "100% full\n", 1500*time.Millisecond)
	if fields[0].Value != "14" || fields[1].Value != "100%25 full%0A" || len(fields) != 3 {
		t.Fatalf("%+v", fields)
	}
	raw, err := base64.RawStdEncoding.DecodeString(fields[2].Value)
	var s status.Status
	if err != nil || proto.Unmarshal(raw, &s) != nil || s.Code != 14 || len(s.Details) != 1 {
		t.Fatalf("%v, %+v", err, &s)
	}
	var info errdetails.RetryInfo
	if err := s.Details[0].UnmarshalTo(&info); err != nil || info.RetryDelay.AsDuration() != 1500*time.Millisecond {
		t.Errorf("%v, %v", err, &info)
	}
	if l := StatusFields(Internal, "", 0); len(l) != 2 {
		t.Errorf("%+v", l)
	}
}

// ParseTimeout accepts no text of more than maxDigits digits and a unit, and never returns a negative duration.
func FuzzParseTimeout(f *testing.F) {
	f.Add("5S")
	f.Add("99999999H")
	f.Fuzz(func(t *testing.T, s string) {
		if d, err := ParseTimeout(s); err == nil && (d < 0 || len(s) > maxDigits+1) {
			t.Errorf("%q is %v", s, d)
		}
	})
}

// A body scanned in two chunks has the same result as in one chunk.
func FuzzScanner(f *testing.F) {
	f.Add(frame(0, 3), 2)
	f.Add([]byte{0, 255, 255, 255, 255, 1}, 1)
	f.Fuzz(func(t *testing.T, body []byte, cut int) {
		cut = max(0, min(cut, len(body)))
		count, oneErr := CountMessages(body)
		var s Scanner
		twoErr := s.Scan(body[:cut])
		if twoErr == nil {
			twoErr = s.Scan(body[cut:])
		}
		if twoErr == nil {
			twoErr = s.End()
		}
		if (twoErr == nil) != (oneErr == nil) || oneErr == nil && s.Count != count || count > len(body)/5 {
			t.Errorf("%d messages, %v in one chunk and %d, %v in two", count, oneErr, s.Count, twoErr)
		}
	})
}
