package grpc

import (
	"encoding/base64"
	"math"
	"strconv"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cranegrade/balancer"
	"cranegrade/internal/message"
)

func TestTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1H": time.Hour, "90M": 90 * time.Minute, "5S": 5 * time.Second, "250m": 250 * time.Millisecond,
		"10u": 10 * time.Microsecond, "0n": 0, "00000007n": 7, "99999999H": math.MaxInt64,
	} {
		if d, err := ParseTimeout(text); err != nil || d != want {
			t.Errorf("%s: %v, %v", text, d, err)
		}
	}
	for _, text := range []string{"", "S", "5", "5s", "-5S", "+5S", "5 S", "123456789n", "1.5S", "5Sm", "0x1S"} {
		if d, err := ParseTimeout(text); err == nil {
			t.Errorf("%q is read as %v", text, d)
		}
	}
}

// What is worded is read again as no longer, and as less by no more than its last digit.
func TestTimeoutProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(1, math.MaxInt64).Draw(t, "d"))
		got, err := ParseTimeout(FormatTimeout(d))
		if err != nil || got > d || float64(d-got) > float64(d)/1e4+1 && d < time.Hour {
			t.Fatalf("%v as %s is %v, %v", d, FormatTimeout(d), got, err)
		}
	})
}

func frame(flag byte, n int) []byte {
	return append([]byte{flag, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, make([]byte, n)...)
}

// However a body is cut into pieces, its messages are the same.
func TestScannerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var body []byte
		lengths := rapid.SliceOfN(rapid.IntRange(0, 300), 0, 8).Draw(t, "lengths")
		for _, n := range lengths {
			body = append(body, frame(byte(n%2), n)...)
		}
		cut := rapid.IntRange(0, len(body)).Draw(t, "end")
		var s Scanner
		ends := 0 // of whole messages
		at := 0
		for _, n := range lengths {
			if at += 5 + n; at <= cut {
				ends++
			}
		}
		for rest := body[:cut]; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			if err := s.Take(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		at = 0
		onEnd := cut == 0
		for _, n := range lengths {
			at += 5 + n
			onEnd = onEnd || at == cut
		}
		if s.Count != ends || (s.End() == nil) != onEnd {
			t.Fatalf("%d messages of %v until %d, want %d; %v", s.Count, lengths, cut, ends, s.End())
		}
	})
}

func f(pairs ...string) (l []message.Field) {
	l = []message.Field{}
	for i := 0; i < len(pairs); i += 2 {
		l = append(l, message.Field{Name: pairs[i], Value: pairs[i+1]})
	}
	return l
}

// TestJudge is what each end of an answer means.
func TestJudge(t *testing.T) {
	head := f("content-type", "application/grpc+proto")
	body := func(b ...byte) (s Scanner) { s.Take(b); return s }
	one := body(frame(0, 3)...)
	for name, c := range map[string]struct {
		a      Answer
		ending balancer.Ending
		code   Code
		told   bool
	}{
		"ok":                             {Answer{200, head, f("grpc-status", "0"), one, false}, balancer.Success, OK, true},
		"no such thing":                  {Answer{200, head, f("grpc-status", "5"), Scanner{}, false}, balancer.Success, NotFound, true},
		"a status in the headers":        {Answer{200, f("content-type", "application/grpc", "grpc-status", "3"), nil, Scanner{}, false}, balancer.Success, InvalidArgument, true},
		"not able":                       {Answer{200, head, f("grpc-status", "14"), Scanner{}, false}, balancer.Failure, Unavailable, true},
		"not able, and not begun":        {Answer{200, head, f("grpc-status", "14", "x-unprocessed", "1"), Scanner{}, false}, balancer.Overloaded, Unavailable, true},
		"not begun, but messages came":   {Answer{200, head, f("grpc-status", "14", "x-unprocessed", "1"), one, false}, balancer.Failure, Unavailable, true},
		"internal, said not to be begun": {Answer{200, head, f("grpc-status", "13", "x-unprocessed", "1"), Scanner{}, false}, balancer.Failure, Internal, true},
		"a trailer without a status":     {Answer{200, head, f("x", "y"), one, false}, balancer.Failure, Unknown, false},
		"no trailer, no status":          {Answer{200, head, nil, one, false}, balancer.Failure, Unknown, false},
		"two statuses":                   {Answer{200, head, f("grpc-status", "0", "grpc-status", "0"), one, false}, balancer.Failure, Unknown, false},
		"a status that is no number":     {Answer{200, head, f("grpc-status", "ok"), one, false}, balancer.Failure, Unknown, false},
		"a status nobody knows":          {Answer{200, head, f("grpc-status", "77"), Scanner{}, false}, balancer.Failure, 77, true},
		"ok with half a message":         {Answer{200, head, f("grpc-status", "0"), body(frame(0, 3)[:6]...), false}, balancer.Failure, Internal, false},
		"ok with what is no message":     {Answer{200, head, f("grpc-status", "0"), Scanner{}, true}, balancer.Failure, Internal, false},
		"another content":                {Answer{200, f("content-type", "text/html"), f("grpc-status", "0"), one, false}, balancer.Failure, Unknown, false},
		"503":                            {Answer{503, f("content-type", "text/plain"), nil, Scanner{}, false}, balancer.Failure, Unknown, false},
		"503, not begun":                 {Answer{503, f("x-unprocessed", "1"), nil, Scanner{}, false}, balancer.Overloaded, Unknown, false},
	} {
		if v := Judge(c.a); v.Ending != c.ending || v.Code != c.code || (v.Fields != nil) != c.told {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// A refusal's details are what the library of any language reads.
func TestRetryInfo(t *testing.T) {
	fields := Status(Unavailable, "100% full\n", 1500*time.Millisecond)
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
	if l := Status(Internal, "", 0); len(l) != 2 {
		t.Errorf("%+v", l)
	}
}

func FuzzParseTimeout(fz *testing.F) {
	fz.Add("5S")
	fz.Add("99999999H")
	fz.Fuzz(func(t *testing.T, s string) {
		if d, err := ParseTimeout(s); err == nil && (d < 0 || len(s) > maxDigits+1) {
			t.Errorf("%q is %v", s, d)
		}
	})
}

func FuzzScanner(fz *testing.F) {
	fz.Add(frame(0, 3), 2)
	fz.Add([]byte{0, 255, 255, 255, 255, 1}, 1)
	fz.Fuzz(func(t *testing.T, b []byte, cut int) {
		cut = max(0, min(cut, len(b)))
		whole, err := Messages(b)
		var s Scanner
		bad := s.Take(b[:cut])
		if bad == nil {
			bad = s.Take(b[cut:])
		}
		if bad == nil {
			bad = s.End()
		}
		if (bad == nil) != (err == nil) || err == nil && s.Count != whole || whole > len(b)/prefix {
			t.Errorf("%d, %v whole and %s, %v in two", whole, err, strconv.Itoa(s.Count), bad)
		}
	})
}
