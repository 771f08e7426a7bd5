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

// script answers each kind of event with what it was told to.
type script map[string][]balancer.Action

func (s script) Handle(_ time.Duration, e balancer.Event) []balancer.Action {
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

func lines(t *testing.T, text []byte) (summaries []Summary, details []Detail) {
	t.Helper()
	for sc := bufio.NewScanner(bytes.NewReader(text)); sc.Scan(); {
		if strings.Contains(sc.Text(), `"what"`) {
			var d Detail
			if err := json.Unmarshal(sc.Bytes(), &d); err != nil {
				t.Fatal(err)
			}
			details = append(details, d)
			continue
		}
		var s Summary
		if err := json.Unmarshal(sc.Bytes(), &s); err != nil {
			t.Fatal(err)
		}
		summaries = append(summaries, s)
	}
	return summaries, details
}

func TestModule(t *testing.T) {
	var text bytes.Buffer
	to := NewSink(&text, 0)
	m := New(script{
		"ok":        {balancer.Send{ID: "ok", Server: "s"}},
		"late":      {balancer.Send{ID: "late", Server: "s"}},
		"away":      {balancer.Reject{ID: "away"}},
		"two":       {balancer.Send{ID: "two", Server: "s"}},
		"again two": {balancer.Send{ID: "two", Server: "t"}},
	}, []balancer.Class{{Name: "get", Aim: 100 * time.Millisecond}}, to, Options{Detail: true})
	ms := time.Millisecond
	at := time.Hour
	ask := func(id string) { m.Handle(at, balancer.Request{ID: id, Class: "get", Deadline: at + time.Second}) }
	end := func(after time.Duration, id string, n int, e balancer.Ending, ended bool) {
		m.Handle(at+after, balancer.Outcome{ID: id, Attempt: n, Server: "s", Ending: e, Ended: ended})
	}
	ask("ok")
	ask("late")
	ask("away")
	ask("two")
	ask("gone")
	end(10*ms, "ok", 0, balancer.Success, true)
	end(20*ms, "two", 0, balancer.Overloaded, false)
	m.Handle(at+30*ms, balancer.ClientGone{ID: "gone"})
	end(200*ms, "late", 0, balancer.Success, true)
	end(210*ms, "two", 1, balancer.Success, true)
	m.Handle(at+2*time.Second, balancer.Timer{})
	to.Close()
	if len(m.open) != 0 {
		t.Errorf("%d requests are still kept", len(m.open))
	}
	s, d := lines(t, text.Bytes())
	if len(s) != 1 {
		t.Fatalf("%d summaries", len(s))
	}
	c := s[0].Counts
	if c.Requests != 5 || c.Sends != 4 || c.Again != 1 || c.Endings["success"] != 3 || c.Endings["overloaded"] != 1 ||
		c.Answers["served"] != 1 || c.Answers["late"] != 2 || c.Answers["refused"] != 1 || c.Answers["gone"] != 1 {
		t.Errorf("%+v", c)
	}
	if len(d) != 5+4+4+5 {
		t.Errorf("%d details", len(d))
	}
}

// A traced module decides as it would untraced.
func TestTracingChangesNothing(t *testing.T) {
	set := balancer.Settings{Classes: []balancer.Class{{Name: "get", Effect: balancer.Idempotent, Aim: time.Second, Deadline: 3 * time.Second}}, MaxAttempts: 3}
	play := func(wrap bool) (all []balancer.Action) {
		b, err := balancer.New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		var h Decider = b
		to := NewSink(&bytes.Buffer{}, 0)
		defer to.Close()
		if wrap {
			h = New(b, set.Classes, to, Options{})
		}
		all = append(all, h.Handle(0, balancer.ServerList{Full: true, Servers: []balancer.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}})...)
		for i := range 300 {
			now := time.Duration(i) * 20 * time.Millisecond
			id := string(rune('a'+i%26)) + strings.Repeat("x", i/26)
			for _, a := range h.Handle(now, balancer.Request{ID: id, Class: "get", Deadline: now + time.Second}) {
				all = append(all, a)
				if s, is := a.(balancer.Send); is {
					all = append(all, h.Handle(now+10*time.Millisecond, balancer.Outcome{ID: id, Server: s.Server, Ending: balancer.Success, Ended: true})...)
				}
			}
		}
		return all
	}
	plain, traced := play(false), play(true)
	if len(plain) != len(traced) {
		t.Fatalf("%d actions, %d traced", len(plain), len(traced))
	}
	for i := range plain {
		if x, is := plain[i].(balancer.Send); is && x.Server != traced[i].(balancer.Send).Server {
			t.Fatalf("action %d: %v, traced %v", i, plain[i], traced[i])
		}
	}
}

// blocked never takes a line until it is let go.
type blocked chan struct{}

func (b blocked) Write(p []byte) (int, error) { <-b; return len(p), nil }

func TestSinkNeverWaits(t *testing.T) {
	b := blocked(make(chan struct{}))
	s := NewSink(b, 0)
	for range maxQueuedLines + 100 {
		s.enqueue(1)
	}
	if s.Dropped() < 98 {
		t.Errorf("%d dropped", s.Dropped())
	}
	close(b)
	s.Close()
	s.Close()
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("disk full") }

func TestSinkBounds(t *testing.T) {
	var text bytes.Buffer
	s := NewSink(&text, 10)
	for range 10 {
		s.enqueue("abc") // 6 bytes a line
	}
	s.Close()
	if text.Len() > 10 || s.Dropped() != 9 {
		t.Errorf("%d bytes, %d dropped", text.Len(), s.Dropped())
	}
	f := NewSink(failing{}, 0)
	f.enqueue(1)
	f.Close()
	if f.Dropped() != 1 {
		t.Errorf("%d dropped", f.Dropped())
	}
}

func TestCreate(t *testing.T) {
	dir := t.TempDir()
	var names []string
	for _, pool := range []string{"a/../b", "", ""} {
		f, err := Create(dir, "n 1", pool)
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, strings.TrimPrefix(f.Name(), dir))
		f.Close()
	}
	if got := strings.Join(names, " "); got != "/n_1.a____b.0.trace /n_1.0.trace /n_1.1.trace" {
		t.Error(got)
	}
	if _, err := Create(dir+"/none", "n", ""); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
}
