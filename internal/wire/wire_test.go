package wire

import (
	"bytes"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"cranegrade/balancer"
)

const sample = "sync\t8412.25\nabout\t3\nlist\t0\t1\nitem\ts:1\tz\tk\t4\t2\t1.5\t6100.5\nannounce\t2\t0\t41\n" +
	"job_in\tid\t8652.25\t-\tget\t3\t-\t12.0\noutcome\tid\ts:1\t18.5\t1\t0\tsuccess\tbusy_reqs:3,odd:1\neob\n"

func all(t *testing.T, text string) ([]Message, error) {
	t.Helper()
	d := NewDecoder(strings.NewReader(text))
	var l []Message
	for {
		m, err := d.Next()
		if err == io.EOF {
			return l, nil
		}
		if err != nil {
			return l, err
		}
		l = append(l, m)
	}
}

func TestDecode(t *testing.T) {
	l, err := all(t, sample)
	if err != nil {
		t.Fatal(err)
	}
	want := []Message{
		{Kind: Sync, Instance: -1, Now: 8412250 * time.Microsecond},
		{Kind: Event, Instance: 3, Event: balancer.ServerList{
			Full: true, Cached: true,
			Servers: []balancer.Server{{ID: "s:1", Zone: "z", Cell: 4, Size: 1.5, StartedAt: 6100500 * time.Microsecond}},
		}},
		{Kind: Event, Instance: 3, Event: balancer.Request{
			ID: "id", Class: "get", ClientRetry: true, Cost: 12 * time.Millisecond,
			Deadline: 8652250 * time.Microsecond,
		}},
		{Kind: Event, Instance: 3, Event: balancer.Outcome{
			ID: "id", Server: "s:1", Ended: true,
			Latency: 18500 * time.Microsecond, Load: &balancer.Load{Busy: 3, Service: -1},
		}},
		{Kind: End, Instance: 3},
	}
	if !reflect.DeepEqual(l, want) {
		t.Fatalf("got %+v\nwant %+v", l, want)
	}
}

func TestBadInputIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		"eob\n":                                "line 1: \"eob\" outside a batch",
		"sync\tx\n":                            "line 1: sync: value 1 is no time",
		"sync\t1\nhuh\t1\n":                    "line 2: \"huh\" before any about",
		"sync\t1\nabout\t1\nhuh\t1\n":          "line 3: unknown message \"huh\"",
		"sync\t1\nabout\t1\njob_in\ta\n":       "line 3: job_in: value 2",
		"sync\t1\nlist\t0\t2\nitem\ta\tb\n":    "value 4 is missing",
		"sync\t1\nlist\t77\t2\n":               "out of range",
		"sync\t1\n":                            "input ends inside a batch",
		"sync\t1\nabout\t1\nhello\t5\t{bad\n":  "settings",
		"sync\t1\nabout\t1\nannounce\t9\t0\t0": "input ends inside a batch",
	} {
		if _, err := all(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

func TestUnknownEffectIsUnsafe(t *testing.T) {
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

func FuzzDecode(f *testing.F) {
	f.Add(sample)
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
