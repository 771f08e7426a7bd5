package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranegrade/balancer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scripted is a module that answers a request by its id, and an attempt that did not end it by "again" and
// the id.
type scripted map[string][]balancer.Action

func (s scripted) Handle(_ time.Duration, e balancer.Event) []balancer.Action {
	switch e := e.(type) {
	case balancer.Request:
		return s[e.ID]
	case balancer.Outcome:
		if !e.Ended {
			return s["again "+e.ID]
		}
	}
	return nil
}

// parse reads the lines of a trace.
func parse(t *testing.T, text []byte) (summaries []Summary, details []Detail) {
	t.Helper()
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		if strings.Contains(lines.Text(), `"what"`) {
			var d Detail
			if err := json.Unmarshal(lines.Bytes(), &d); err != nil {
				t.Fatal(err)
			}
			details = append(details, d)
			continue
		}
		var s Summary
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			t.Fatal(err)
		}
		summaries = append(summaries, s)
	}
	return summaries, details
}

func TestModuleRecordsRequests(t *testing.T) {
	var text bytes.Buffer
	sink := NewSink(&text, 0)
	m := New(scripted{
		"ok":        {balancer.Send{ID: "ok", Server: "s"}},
		"late":      {balancer.Send{ID: "late", Server: "s"}},
		"away":      {balancer.Reject{ID: "away"}},
		"two":       {balancer.Send{ID: "two", Server: "s"}},
		"again two": {balancer.Send{ID: "two", Server: "t"}},
	}, []balancer.Class{{Name: "get", Aim: 100 * time.Millisecond}}, sink, Options{Detail: true})
	const ms = time.Millisecond
	start := time.Hour
	request := func(id string) {
		m.Handle(start, balancer.Request{ID: id, Class: "get", Deadline: start + time.Second})
	}
	outcome := func(after time.Duration, id string, attempt int, ending balancer.Ending, ended bool) {
		m.Handle(start+after, balancer.Outcome{
			ID:      id,
			Attempt: attempt,
			Server:  "s",
			Ending:  ending,
			Ended:   ended,
		})
	}
	for _, id := range []string{"ok", "late", "away", "two", "gone"} {
		request(id)
	}
	outcome(10*ms, "ok", 0, balancer.Success, true)
	outcome(20*ms, "two", 0, balancer.Overloaded, false)
	m.Handle(start+30*ms, balancer.ClientGone{ID: "gone"})
	outcome(200*ms, "late", 0, balancer.Success, true)
	outcome(210*ms, "two", 1, balancer.Success, true)
	m.Handle(start+2*time.Second, balancer.Timer{})
	sink.Close()
	if len(m.open) != 0 {
		t.Errorf("%d requests are still open", len(m.open))
	}
	summaries, details := parse(t, text.Bytes())
	if len(summaries) != 1 {
		t.Fatalf("%d summaries", len(summaries))
	}
	c := summaries[0].Counts
	if c.Requests != 5 || c.Sends != 4 || c.Retries != 1 || c.Endings["success"] != 3 || c.Endings["overloaded"] != 1 ||
		c.Answers["served"] != 1 || c.Answers["late"] != 2 || c.Answers["refused"] != 1 || c.Answers["gone"] != 1 {
		t.Errorf("%+v", c)
	}
	const requests, sends, ends, answers = 5, 4, 4, 5
	if len(details) != requests+sends+ends+answers {
		t.Errorf("%d details", len(details))
	}
}

// play plays requests that all succeed, traced or not, and returns the module's actions.
func play(t *testing.T, traced bool) (all []balancer.Action) {
	t.Helper()
	settings := balancer.Settings{
		Classes: []balancer.Class{{
			Name:     "get",
			Effect:   balancer.Idempotent,
			Aim:      time.Second,
			Deadline: 3 * time.Second,
		}},
		MaxAttempts: 3,
	}
	b, err := balancer.New(settings, 3)
	if err != nil {
		t.Fatal(err)
	}
	var module Decider = b
	if traced {
		sink := NewSink(&bytes.Buffer{}, 0)
		defer sink.Close()
		module = New(b, settings.Classes, sink, Options{})
	}
	all = append(all, module.Handle(0, balancer.ServerList{Full: true, Servers: []balancer.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}})...)
	for i := range 300 {
		now := time.Duration(i) * 20 * time.Millisecond
		id := string(rune('a'+i%26)) + strings.Repeat("x", i/26)
		for _, a := range module.Handle(now, balancer.Request{
			ID:       id,
			Class:    "get",
			Deadline: now + time.Second,
		}) {
			all = append(all, a)
			if send, ok := a.(balancer.Send); ok {
				outcome := balancer.Outcome{
					ID:     id,
					Server: send.Server,
					Ending: balancer.Success,
					Ended:  true,
				}
				all = append(all, module.Handle(now+10*time.Millisecond, outcome)...)
			}
		}
	}
	return all
}

// A traced module decides as it would untraced.
func TestTracingChangesNothing(t *testing.T) {
	plain, traced := play(t, false), play(t, true)
	if len(plain) != len(traced) {
		t.Fatalf("%d actions, %d traced", len(plain), len(traced))
	}
	for i := range plain {
		if send, ok := plain[i].(balancer.Send); ok && send.Server != traced[i].(balancer.Send).Server {
			t.Fatalf("action %d: %v, traced %v", i, plain[i], traced[i])
		}
	}
}

// blockedWriter takes no bytes until it is closed.
type blockedWriter chan struct{}

func (b blockedWriter) Write(p []byte) (int, error) { <-b; return len(p), nil }

func TestSinkNeverWaits(t *testing.T) {
	w := blockedWriter(make(chan struct{}))
	s := NewSink(w, 0)
	for range maxQueuedLines + 100 {
		s.enqueue(1)
	}
	if s.Dropped() < 98 { // one line is with the writer
		t.Errorf("%d dropped", s.Dropped())
	}
	close(w)
	s.Close()
	s.Close()
}

func TestSinkLimit(t *testing.T) {
	var text bytes.Buffer
	s := NewSink(&text, 10)
	for range 10 {
		s.enqueue("abc") // 6 bytes a line
	}
	s.Close()
	if text.Len() > 10 || s.Dropped() != 9 {
		t.Errorf("%d bytes, %d dropped", text.Len(), s.Dropped())
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("disk full") }

func TestSinkCountsFailedWrites(t *testing.T) {
	s := NewSink(failingWriter{}, 0)
	s.enqueue(1)
	s.Close()
	if s.Dropped() != 1 {
		t.Errorf("%d dropped", s.Dropped())
	}
}

func TestCreateNeverOverwrites(t *testing.T) {
	dir := t.TempDir()
	var names []string
	for _, pool := range []string{"a/../b", "", ""} {
		f, err := Create(dir, "n 1", pool)
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, strings.TrimPrefix(f.Name(), dir))
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}
	if got := strings.Join(names, " "); got != "/n_1.a____b.0.trace /n_1.0.trace /n_1.1.trace" {
		t.Error(got)
	}
	if _, err := Create(dir+"/none", "n", ""); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
}
