package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"cranegrade/balancer"
)

// sampleBatch is a batch with a list, a request and an outcome.
const sampleBatch = "sync\t8412.25\nabout\t3\nlist\t0\t1\nitem\ts:1\tz\tk\t4\t2\t1.5\t6100.5\nannounce\t2\t0\t41\n" +
	"job_in\tid\t8652.25\t-\tget\t3\t-\t12.0\noutcome\tid\ts:1\t18.5\t1\t0\tsuccess\tbusy_reqs:3,odd:1\neob\n"

// decodeAll decodes messages until the input ends or is malformed.
func decodeAll(t *testing.T, text string) (messages []Message, err error) {
	t.Helper()
	d := NewDecoder(strings.NewReader(text))
	for {
		m, err := d.Next()
		if errors.Is(err, io.EOF) {
			return messages, nil
		}
		if err != nil {
			return messages, err
		}
		messages = append(messages, m)
	}
}

func TestDecode(t *testing.T) {
	got, err := decodeAll(t, sampleBatch)
	if err != nil {
		t.Fatal(err)
	}
	want := []Message{
		{Kind: BatchStart, Instance: -1, Now: 8412250 * time.Microsecond},
		{Kind: Event, Instance: 3, Event: balancer.ServerList{
			Full:   true,
			Cached: true,
			Servers: []balancer.Server{{
				ID:        "s:1",
				Zone:      "z",
				Cell:      4,
				Size:      1.5,
				StartedAt: 6100500 * time.Microsecond,
			}},
		}},
		{Kind: Event, Instance: 3, Event: balancer.Request{
			ID:          "id",
			Class:       "get",
			ClientRetry: true,
			Cost:        12 * time.Millisecond,
			Deadline:    8652250 * time.Microsecond,
		}},
		{Kind: Event, Instance: 3, Event: balancer.Outcome{
			ID:      "id",
			Server:  "s:1",
			Ended:   true,
			Latency: 18500 * time.Microsecond,
			Load:    &balancer.Load{Busy: 3, Service: -1},
		}},
		{Kind: BatchEnd, Instance: 3},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
}

func TestMalformedInputIsReportedWithItsLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{
			name: "end without a batch",
			text: "eob\n",
			want: "line 1: \"eob\" outside a batch",
		},
		{
			name: "batch in a batch",
			text: "sync\t1\nsync\t2\n",
			want: "line 2: sync inside a batch",
		},
		{
			name: "malformed time",
			text: "sync\tx\n",
			want: "line 1: sync: value 1 is no time",
		},
		{
			name: "no instance",
			text: "sync\t1\nhuh\t1\n",
			want: "line 2: \"huh\" before any about",
		},
		{
			name: "unknown message",
			text: "sync\t1\nabout\t1\nhuh\t1\n",
			want: "line 3: unknown message \"huh\"",
		},
		{
			name: "missing value",
			text: "sync\t1\nabout\t1\njob_in\ta\n",
			want: "line 3: job_in: value 2",
		},
		{
			name: "short list item",
			text: "sync\t1\nlist\t0\t2\nitem\ta\tb\n",
			want: "value 4 is missing",
		},
		{
			name: "unknown list",
			text: "sync\t1\nlist\t77\t2\n",
			want: "out of range",
		},
		{
			name: "number that is too large",
			text: "sync\t1\nabout\t1\nannounce\t2\t99999999999999999999\t1\n",
			want: "line 3: announce: value 2 is no whole number",
		},
		{
			name: "no end of the batch",
			text: "sync\t1\n",
			want: "input ends inside a batch",
		},
		{
			name: "malformed settings",
			text: "sync\t1\nabout\t1\nhello\t5\t{bad\n",
			want: "settings",
		},
		{
			name: "no end of the line",
			text: "sync\t1\nabout\t1\nannounce\t9\t0\t0",
			want: "input ends inside a batch",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := decodeAll(t, c.text); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%q: got %v, want %q", c.text, err, c.want)
			}
		})
	}
}

func TestUnknownEffectIsNonIdempotent(t *testing.T) {
	s, _, err := ParseSettings([]byte(`{"lanes":[{"name":"a","effect":"odd"},{"name":"b","effect":"read_like"}],"new":1}`))
	if err != nil || s.Classes[0].Effect != balancer.NonIdempotent || s.Classes[1].Effect != balancer.Idempotent {
		t.Fatalf("got %+v, %v", s, err)
	}
}

func TestEncode(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.Action(3, balancer.Send{ID: "a", Server: "s", Timeout: 80500 * time.Microsecond})
	e.Action(3, balancer.Cancel{ID: "a", Attempt: 1})
	e.Action(5, balancer.Reject{ID: "b"})
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := "instance\t3\nforward\ta\ts\t80.5\nretract\ta\t1\ninstance\t5\nturn_away\tb\t0\nyield\n"
	if out.String() != want {
		t.Fatalf("got %q, want %q", out.String(), want)
	}
}

// FuzzDecode: no input makes the decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add(sampleBatch)
	f.Add("sync\t1\nabout\t0\ncrash_now\neob\n")
	f.Fuzz(func(t *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		for range 1000 {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
