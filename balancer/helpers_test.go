package balancer

import (
	"fmt"
	"testing"
	"time"
)

const msec = time.Millisecond

// testSettings returns settings with one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				Name:     "get",
				Effect:   Idempotent,
				Scope:    ScopeAll,
				Aim:      500 * msec,
				Deadline: 1500 * msec,
				Worth:    1,
			},
			{
				Name:     "post",
				Effect:   IdempotentByKey,
				Scope:    ScopeCell,
				Window:   900 * msec,
				Aim:      500 * msec,
				Deadline: 1500 * msec,
				Worth:    2,
			},
			{
				Name:     "pay",
				Effect:   NonIdempotent,
				Aim:      500 * msec,
				Deadline: 1500 * msec,
				Worth:    3,
			},
		},
		Balancers:     2,
		Tier:          0,
		WholeWeight:   0.6,
		ClassWeight:   0.3,
		MaxAttempts:   5,
		SecondCopies:  true,
		MayCancel:     true,
		Tick:          2 * msec,
		AskWithin:     10 * time.Second,
		MaxRetryAfter: 2 * time.Second,
		ColdFrom:      0.2,
		WarmAfter:     10 * time.Second,
		FallMultiple:  3,
		FallFor:       2 * time.Second,
	}
}

// newBalancer returns a Balancer with testSettings after change, which may be nil.
func newBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// servers returns n ready servers in two cells of one zone.
func servers(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return l
}

// sends returns the Send actions among actions.
func sends(actions []Action) []Send {
	var l []Send
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			l = append(l, s)
		}
	}
	return l
}

// endAttempt reports the outcome of the first attempt of a request.
func endAttempt(b *Balancer, now time.Duration, id string, s Send, e Ending) []Action {
	return b.Handle(now, Outcome{ID: id, Server: s.Server, Ending: e, Ended: e == Success})
}

// sendTraffic sends n requests one after another; endingOf decides how attempts at a server end. It returns the number
// of first attempts that each server got during the second half.
func sendTraffic(b *Balancer, n int, class string, endingOf func(server string) Ending) map[string]int {
	firstAttempts := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				firstAttempts[s.Server]++
			}
			for k := 0; k < 5; k++ {
				e := endingOf(s.Server)
				now += 10 * msec
				retries := sends(b.Handle(now, Outcome{
					ID:      id,
					Attempt: k,
					Server:  s.Server,
					Ending:  e,
					Ended:   e == Success,
				}))
				if len(retries) == 0 {
					break
				}
				s = retries[0]
			}
		}
	}
	return firstAttempts
}
