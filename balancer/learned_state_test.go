package balancer

import (
	"encoding/json"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// After Learn a Balancer has the estimates of the one whose Knowledge it got.
func TestLearnRestoresEstimates(t *testing.T) {
	list := ServerList{Full: true, Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c", StartedAt: 5}}}
	set := Settings{
		Classes: []Class{{
			Name:     "x",
			Effect:   Idempotent,
			Aim:      time.Second,
			Deadline: 3 * time.Second,
			Worth:    1,
		}},
		Balancers:   1,
		MaxAttempts: 3,
		Tick:        time.Millisecond,
	}
	old, _ := New(set, 1)
	now := time.Hour
	old.Handle(now, list)
	for i := range 200 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		for _, a := range old.Handle(now, Request{ID: id, Class: "x", Deadline: now + 3*time.Second}) {
			if s, ok := a.(Send); ok {
				took := 30 * time.Millisecond
				ending := Success
				if s.Server == "b" {
					took, ending = 90*time.Millisecond, Failure
				}
				now += took
				old.Handle(now, Outcome{
					ID:      id,
					Server:  s.Server,
					Ending:  ending,
					Latency: took,
					Ended:   ending == Success,
				})
			}
		}
	}
	text, err := json.Marshal(old.Knowledge())
	if err != nil {
		t.Fatal(err)
	}
	var k Knowledge
	if err := json.Unmarshal(text, &k); err != nil {
		t.Fatal(err)
	}
	next, _ := New(set, 2)
	list.Servers[2].StartedAt = 6 // this server has been restarted
	next.Handle(now, list)
	next.Learn(&k)
	x, y := old.Estimates(10), next.Estimates(10)
	if x.Window != y.Window || x.LatencyRatio != y.LatencyRatio || x.ErrorShare != y.ErrorShare || !reflect.DeepEqual(x.Classes, y.Classes) {
		t.Errorf("estimates:\n%+v\nafter Learn:\n%+v", x, y)
	}
	for i := range x.Servers { // calls are not transferred
		x.Servers[i].Calls, x.Servers[i].OldestMS = 0, 0
	}
	if !reflect.DeepEqual(x.Servers[:2], y.Servers[:2]) {
		t.Errorf("servers:\n%+v\nafter Learn:\n%+v", x.Servers, y.Servers)
	}
	if y.Servers[2].Slowness != 0 {
		t.Error("a restarted server got the learned state of its former process")
	}
}

// Whatever values Knowledge has, the estimates stay in range and the Balancer handles requests.
func TestLearnKeepsEstimatesInRange(t *testing.T) {
	set := Settings{
		Classes: []Class{{
			Name:     "x",
			Effect:   Idempotent,
			Aim:      time.Second,
			Deadline: 3 * time.Second,
			Worth:    1,
		}},
		Balancers:   2,
		MaxAttempts: 3,
		Tick:        time.Millisecond,
	}
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.SampledFrom([]float64{0, 1, -1, 0.5, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, 17})
		span := rapid.SampledFrom([]time.Duration{0, 1, -1, math.MaxInt64, math.MinInt64, time.Hour})
		count := rapid.SampledFrom([]int{0, 1, -1, 4, math.MaxInt, math.MinInt})
		n := func() float64 { return number.Draw(t, "n") }
		d := func() time.Duration { return span.Draw(t, "d") }
		c := func() int { return count.Draw(t, "c") }
		class := func(name string) ClassKnowledge {
			return ClassKnowledge{
				Name:           name,
				Mean:           n(),
				Deviation:      n(),
				Cost:           n(),
				Arrived:        n(),
				Served:         n(),
				LongestTimeout: d(),
			}
		}
		server := func(id string) ServerKnowledge {
			return ServerKnowledge{
				ID:             id,
				FailureStreak:  c(),
				EjectionLevel:  c(),
				SuccessStreak:  c(),
				EjectedUntil:   d(),
				Slowness:       n(),
				Samples:        c(),
				LastSuccess:    d(),
				AcceptedAt:     d(),
				CallLimit:      c(),
				RefusedAt:      d(),
				CallLimitUntil: d(),
				Refusals:       c(),
			}
		}
		k := &Knowledge{
			At:               d(),
			Window:           n(),
			LatencyRatio:     n(),
			LogLatencyRatio:  n(),
			BaselineLogRatio: n(),
			Samples:          n(),
			NewServerShare:   n(),
			LatencyVariance:  n(),
			ErrorShare:       n(),
			RetryTokens:      n(),
			ShedShare:        n(),
			AbandonedShare:   n(),
			Classes:          []ClassKnowledge{class("x"), class("y")},
			Servers:          []ServerKnowledge{server("a"), server("z")},
		}
		b, _ := New(set, 1)
		now := time.Hour
		b.Handle(now, ServerList{Full: true, Servers: []Server{{ID: "a"}, {ID: "b"}}})
		b.Learn(k)
		for i := range 50 {
			now += 100 * time.Millisecond
			id := strings.Repeat("r", i+1)
			actions := b.Handle(now, Request{ID: id, Class: "x", Deadline: now + 3*time.Second})
			if !slices.ContainsFunc(actions, func(a Action) bool { _, ok := a.(Send); return ok }) {
				continue
			}
			b.Handle(now+10*time.Millisecond, Outcome{
				ID:      id,
				Ending:  Success,
				Latency: 10 * time.Millisecond,
				Ended:   true,
			})
		}
		v := b.Estimates(0)
		for name, x := range map[string]float64{
			"window": v.Window,
			"fill":   v.LatencyRatio,
			"bare":   v.BaselineRatio,
			"errors": v.ErrorShare,
			"tokens": v.RetryTokens,
			"mean":   v.Classes[0].MeanMS,
		} {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				t.Fatalf("%s is %v after %+v", name, x, k)
			}
		}
	})
}
