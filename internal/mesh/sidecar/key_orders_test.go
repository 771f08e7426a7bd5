package sidecar

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/testkit"
)

// This file searches all orders of events over one key: attempts at two sidecars, lease requests that are delayed, duplicated or lost, grants that
// arrive after the sidecar has given up, every kind of ending, releases that are delayed and duplicated, and a sidecar that crashes. The
// response stores of the sidecars and the lease store of the control plane are the real ones; a model connects them.

type keyAttempt struct {
	sidecar int
	token   string
	attempt uint32
	after   int // it begins only once that attempt has said that it never ran; -1: at any time
	state   string
}

type keyWorld struct {
	attempts     []keyAttempt
	responses    [2]*responseStore
	incarnations [2]int
	store        *idempotency.Store
	messages     []keyMessage
	faultsLeft   int // losses, repetitions and crashes that may still come
	executions   int // that have, or may have, run
	trace        []string
}

// keyMessage is a lease request or its result, in flight.
type keyMessage struct {
	claim   idempotency.LeaseRequest
	attempt int
	isReply bool
	granted bool
}

const (
	attemptIdle        = "idle"
	attemptWaiting     = "waits" // for its grant
	attemptRunning     = "runs"
	attemptNotExecuted = "not run"
	attemptSettled     = "settled"
)

func (w *keyWorld) clone() *keyWorld {
	v := *w
	v.attempts, v.messages, v.trace = slices.Clone(w.attempts), slices.Clone(w.messages), slices.Clone(w.trace)
	v.store = idempotency.Restore(w.store.Leases())
	for i, k := range w.responses {
		v.responses[i] = newResponseStore()
		for n, x := range k.records {
			y := *x
			v.responses[i].records[n] = &y
		}
		v.responses[i].claimOrder = slices.Clone(k.claimOrder)
	}
	return &v
}

func (w *keyWorld) key() string {
	var b strings.Builder
	for _, t := range w.attempts {
		b.WriteString(t.state + ";")
	}
	for i, k := range w.responses {
		if x, is := k.get("k"); is {
			fmt.Fprint(&b, x.token, x.attempt, x.state)
		}
		fmt.Fprint(&b, "/", w.incarnations[i], ";")
	}
	for _, h := range w.store.Leases() {
		fmt.Fprint(&b, h.Token, h.Attempt, h.Holder)
	}
	var msgs []string
	for _, m := range w.messages {
		msgs = append(msgs, fmt.Sprint(m))
	}
	slices.Sort(msgs)
	return fmt.Sprint(b.String(), msgs, w.faultsLeft, w.executions)
}

func (w *keyWorld) holder(sidecar int) string {
	return fmt.Sprint("sidecar", sidecar, "/", w.incarnations[sidecar])
}

// releaseKey does the same as inboundRequest.releaseKey.
func (w *keyWorld) releaseKey(i int) {
	t := &w.attempts[i]
	w.responses[t.sidecar].markNotExecuted("k")
	claim := idempotency.LeaseRequest{Key: "k", Token: t.token, Attempt: t.attempt, Holder: w.holder(t.sidecar), Release: true}
	w.messages = append(w.messages, keyMessage{claim: claim, attempt: i})
	t.state = attemptNotExecuted
}

// after returns the state of the model after one step.
func (w *keyWorld) after(name string, step func(v *keyWorld)) *keyWorld {
	v := w.clone()
	v.trace = append(v.trace, name)
	step(v)
	return v
}

// next returns every state that one step leads to. released enables the injected fault.
func (w *keyWorld) next(released bool) (out []*keyWorld) {
	for i := range w.attempts {
		out = append(out, w.attemptSteps(i, released)...)
	}
	for n := range w.messages {
		out = append(out, w.messageSteps(n)...)
	}
	for sidecar := range w.responses {
		if w.faultsLeft > 0 && w.incarnations[sidecar] == 0 {
			out = append(out, w.after(fmt.Sprint("crash ", sidecar), func(v *keyWorld) { v.crash(sidecar) }))
		}
	}
	return out
}

// attemptSteps returns the steps of one attempt.
func (w *keyWorld) attemptSteps(i int, released bool) []*keyWorld {
	t := w.attempts[i]
	switch t.state {
	case attemptIdle:
		if t.after >= 0 && w.attempts[t.after].state != attemptNotExecuted {
			return nil
		}
		return []*keyWorld{w.after(fmt.Sprint("begin ", i), func(v *keyWorld) { v.begin(i) })}
	case attemptWaiting:
		return []*keyWorld{w.after(fmt.Sprint("give up ", i), func(v *keyWorld) { v.releaseKey(i) })}
	case attemptRunning:
		return []*keyWorld{
			w.after(fmt.Sprint("done ", i), func(v *keyWorld) { v.end(i, keyAnswered, false) }),
			w.after(fmt.Sprint("unknown ", i), func(v *keyWorld) { v.end(i, keyOutcomeUnknown, released) }),
			w.after(fmt.Sprint("rejected ", i), func(v *keyWorld) { v.releaseKey(i) }),
		}
	}
	return nil
}

func (w *keyWorld) begin(i int) {
	t := &w.attempts[i]
	if _, fresh := w.responses[t.sidecar].begin("k", t.token, t.attempt, time.Hour); !fresh {
		t.state = attemptSettled
		return
	}
	t.state = attemptWaiting
	claim := idempotency.LeaseRequest{Key: "k", Token: t.token, Attempt: t.attempt, Holder: w.holder(t.sidecar), Window: time.Hour}
	w.messages = append(w.messages, keyMessage{claim: claim, attempt: i})
}

// end ends an attempt that has run. released enables the injected fault: its key is released all the same.
func (w *keyWorld) end(i int, state keyState, released bool) {
	t := &w.attempts[i]
	w.executions++
	w.responses[t.sidecar].setState("k", state, nil)
	if released {
		w.releaseKey(i)
	}
	t.state = attemptSettled
}

// messageSteps returns what may happen to a message: it is delivered, lost, or delivered and duplicated.
func (w *keyWorld) messageSteps(n int) []*keyWorld {
	m := w.messages[n]
	out := []*keyWorld{w.after(fmt.Sprint("take ", m), func(v *keyWorld) { v.messages = slices.Delete(v.messages, n, n+1); v.take(m) })}
	if w.faultsLeft > 0 {
		out = append(out,
			w.after(fmt.Sprint("lose ", m), func(v *keyWorld) { v.faultsLeft--; v.messages = slices.Delete(v.messages, n, n+1) }),
			w.after(fmt.Sprint("twice ", m), func(v *keyWorld) { v.faultsLeft--; v.take(m) }))
	}
	return out
}

// take delivers a message to the lease store, or a reply to its sidecar.
func (w *keyWorld) take(m keyMessage) {
	if !m.isReply {
		result := w.store.Apply(time.Second, m.claim)
		if !m.claim.Release {
			w.messages = append(w.messages, keyMessage{claim: m.claim, attempt: m.attempt, isReply: true, granted: result.Granted})
		}
		return
	}
	t := &w.attempts[m.attempt]
	if t.state != attemptWaiting || m.claim.Holder != w.holder(t.sidecar) {
		return // it has given up, or this is another incarnation
	}
	if m.granted {
		w.responses[t.sidecar].setState("k", keyRunning, nil)
		t.state = attemptRunning
	} else {
		w.responses[t.sidecar].markNotExecuted("k")
		t.state = attemptSettled
	}
}

// crash restarts a sidecar, which forgets its keys. Attempts that were running there may have run.
func (w *keyWorld) crash(sidecar int) {
	w.faultsLeft--
	w.incarnations[sidecar]++
	w.responses[sidecar] = newResponseStore()
	for i := range w.attempts {
		t := &w.attempts[i]
		if t.sidecar != sidecar || t.state != attemptWaiting && t.state != attemptRunning {
			continue
		}
		if t.state == attemptRunning {
			w.executions++
		}
		t.state = attemptSettled
	}
}

func searchKeys(released bool) (states int, broken []string) {
	w := &keyWorld{store: idempotency.New(), faultsLeft: 1, attempts: []keyAttempt{
		{sidecar: 0, token: "a", after: -1, state: attemptIdle},
		{sidecar: 1, token: "a", attempt: 1, after: 0, state: attemptIdle},
		{sidecar: 1, token: "b", after: -1, state: attemptIdle},
	}}
	w.responses = [2]*responseStore{newResponseStore(), newResponseStore()}
	seen := map[string]bool{w.key(): true}
	for list := []*keyWorld{w}; len(list) > 0; {
		w := list[0]
		list[0], list = nil, list[1:]
		for _, v := range w.next(released) {
			if v.executions > 1 {
				return len(seen), v.trace
			}
			if k := v.key(); !seen[k] && (!testkit.Race || len(seen) < 9_000) {
				seen[k] = true
				list = append(list, v)
			}
		}
	}
	return len(seen), nil
}

// A key's request runs at most once in every order of events. A sidecar that releases a key although the outcome of its attempt is unknown is
// found.
func TestKeyInAllOrders(t *testing.T) {
	t.Parallel()
	states, broken := searchKeys(false)
	if broken != nil {
		t.Fatalf("it ran twice: %v", broken)
	}
	t.Logf("%d states", states)
	if states, broken = searchKeys(true); broken == nil {
		t.Errorf("a key released after an unknown end was not found in %d states", states)
	} else {
		t.Logf("injected, found after %d states: %v", states, broken)
	}
}
