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

// This file explores all orders of events that concern one key: attempts at two sidecars, lease requests that are delayed, duplicated or lost, grants
// that arrive after the sidecar has given up, every kind of ending, releases that are delayed and duplicated, and a crash of a sidecar. The
// response stores of the sidecars and the lease store of the control plane are the real ones; a model simulates what connects them.

// keyAttempt is an attempt of a call with the key.
type keyAttempt struct {
	sidecar     int
	token       string
	attempt     uint32
	startsAfter int    // index of the attempt that must have ended without running before this one begins; -1: none
	state       string // one of the constants below
}

// keyModel is one state of the search.
type keyModel struct {
	attempts     []keyAttempt
	responses    [2]*responseStore
	incarnations [2]int
	store        *idempotency.Store
	messages     []keyMessage
	faultsLeft   int      // how many messages may still be lost or duplicated, or sidecars crash
	executions   int      // how many attempts have run or may have run
	trace        []string // the steps that led to this state
}

// keyMessage is a lease request or its result in flight.
type keyMessage struct {
	claim   idempotency.LeaseRequest
	attempt int
	isReply bool
	granted bool
}

const (
	attemptIdle        = "idle"
	attemptWaiting     = "waits" // for the result of its lease request
	attemptRunning     = "runs"
	attemptNotExecuted = "not run"
	attemptSettled     = "settled"
)

// clone returns a deep copy.
func (w *keyModel) clone() *keyModel {
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

// fingerprint identifies the state, apart from its trace, so that no state is explored twice.
func (w *keyModel) fingerprint() string {
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

// holder returns the name of a sidecar as the holder of leases, as environment.leaseHolder does.
func (w *keyModel) holder(sidecar int) string {
	return fmt.Sprint("sidecar", sidecar, "/", w.incarnations[sidecar])
}

// releaseLease does the same as inboundRequest.releaseLease.
func (w *keyModel) releaseLease(i int) {
	t := &w.attempts[i]
	w.responses[t.sidecar].markNotExecuted("k")
	claim := idempotency.LeaseRequest{Key: "k", Token: t.token, Attempt: t.attempt, Holder: w.holder(t.sidecar), Release: true}
	w.messages = append(w.messages, keyMessage{claim: claim, attempt: i})
	t.state = attemptNotExecuted
}

// afterStep returns the state after one step, which name describes in the trace.
func (w *keyModel) afterStep(name string, step func(v *keyModel)) *keyModel {
	v := w.clone()
	v.trace = append(v.trace, name)
	step(v)
	return v
}

// successors returns all states that one step leads to. For injectFault see end.
func (w *keyModel) successors(injectFault bool) (out []*keyModel) {
	for i := range w.attempts {
		out = append(out, w.attemptSteps(i, injectFault)...)
	}
	for n := range w.messages {
		out = append(out, w.messageSteps(n)...)
	}
	for sidecar := range w.responses {
		if w.faultsLeft > 0 && w.incarnations[sidecar] == 0 {
			out = append(out, w.afterStep(fmt.Sprint("crash ", sidecar), func(v *keyModel) { v.crash(sidecar) }))
		}
	}
	return out
}

// attemptSteps returns the states after the possible steps of one attempt.
func (w *keyModel) attemptSteps(i int, injectFault bool) []*keyModel {
	t := w.attempts[i]
	switch t.state {
	case attemptIdle:
		if t.startsAfter >= 0 && w.attempts[t.startsAfter].state != attemptNotExecuted {
			return nil
		}
		return []*keyModel{w.afterStep(fmt.Sprint("begin ", i), func(v *keyModel) { v.begin(i) })}
	case attemptWaiting:
		return []*keyModel{w.afterStep(fmt.Sprint("give up ", i), func(v *keyModel) { v.releaseLease(i) })}
	case attemptRunning:
		return []*keyModel{
			w.afterStep(fmt.Sprint("done ", i), func(v *keyModel) { v.end(i, keyAnswered, false) }),
			w.afterStep(fmt.Sprint("unknown ", i), func(v *keyModel) { v.end(i, keyOutcomeUnknown, injectFault) }),
			w.afterStep(fmt.Sprint("rejected ", i), func(v *keyModel) { v.releaseLease(i) }),
		}
	}
	return nil
}

// begin starts an attempt, as inboundRequest.claimKey does.
func (w *keyModel) begin(i int) {
	t := &w.attempts[i]
	if _, fresh := w.responses[t.sidecar].begin("k", t.token, t.attempt, time.Hour); !fresh {
		t.state = attemptSettled
		return
	}
	t.state = attemptWaiting
	claim := idempotency.LeaseRequest{Key: "k", Token: t.token, Attempt: t.attempt, Holder: w.holder(t.sidecar), Window: time.Hour}
	w.messages = append(w.messages, keyMessage{claim: claim, attempt: i})
}

// end ends an attempt that has run. With injectFault, its lease is released although it has run.
func (w *keyModel) end(i int, state keyState, injectFault bool) {
	t := &w.attempts[i]
	w.executions++
	w.responses[t.sidecar].setState("k", state, nil)
	if injectFault {
		w.releaseLease(i)
	}
	t.state = attemptSettled
}

// messageSteps returns the states after the possible steps of a message: it is delivered, lost, or delivered while a duplicate stays in flight.
func (w *keyModel) messageSteps(n int) []*keyModel {
	m := w.messages[n]
	out := []*keyModel{w.afterStep(fmt.Sprint("deliver ", m), func(v *keyModel) { v.messages = slices.Delete(v.messages, n, n+1); v.deliver(m) })}
	if w.faultsLeft > 0 {
		out = append(out,
			w.afterStep(fmt.Sprint("lose ", m), func(v *keyModel) { v.faultsLeft--; v.messages = slices.Delete(v.messages, n, n+1) }),
			w.afterStep(fmt.Sprint("deliver and duplicate ", m), func(v *keyModel) { v.faultsLeft--; v.deliver(m) }))
	}
	return out
}

// deliver delivers a lease request to the lease store, or a result to its sidecar.
func (w *keyModel) deliver(m keyMessage) {
	if !m.isReply {
		result := w.store.Apply(time.Second, m.claim)
		if !m.claim.Release {
			w.messages = append(w.messages, keyMessage{claim: m.claim, attempt: m.attempt, isReply: true, granted: result.Granted})
		}
		return
	}
	t := &w.attempts[m.attempt]
	if t.state != attemptWaiting || m.claim.Holder != w.holder(t.sidecar) {
		return // the attempt has given up, or the sidecar has restarted
	}
	if m.granted {
		w.responses[t.sidecar].setState("k", keyRunning, nil)
		t.state = attemptRunning
	} else {
		w.responses[t.sidecar].markNotExecuted("k")
		t.state = attemptSettled
	}
}

// crash restarts a sidecar, which loses its records. Attempts that were running there may have run.
func (w *keyModel) crash(sidecar int) {
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

// searchEventOrders explores all states, and returns their number and the trace to the first one in which the request may have run twice, if any.
// Under the race detector it explores only the first 9000, to save time.
func searchEventOrders(injectFault bool) (states int, violation []string) {
	w := &keyModel{store: idempotency.New(), faultsLeft: 1, attempts: []keyAttempt{
		{sidecar: 0, token: "a", startsAfter: -1, state: attemptIdle},
		{sidecar: 1, token: "a", attempt: 1, startsAfter: 0, state: attemptIdle},
		{sidecar: 1, token: "b", startsAfter: -1, state: attemptIdle},
	}}
	w.responses = [2]*responseStore{newResponseStore(), newResponseStore()}
	seen := map[string]bool{w.fingerprint(): true}
	for list := []*keyModel{w}; len(list) > 0; {
		w := list[0]
		list[0], list = nil, list[1:]
		for _, v := range w.successors(injectFault) {
			if v.executions > 1 {
				return len(seen), v.trace
			}
			if k := v.fingerprint(); !seen[k] && (!testkit.Race || len(seen) < 9_000) {
				seen[k] = true
				list = append(list, v)
			}
		}
	}
	return len(seen), nil
}

// The request of a key runs at most once in every order of events. To show that the search can detect a violation, it is repeated with an injected
// fault: a sidecar releases a lease although the outcome of its attempt is unknown.
func TestKeyRunsOnceInAllEventOrders(t *testing.T) {
	t.Parallel()
	states, violation := searchEventOrders(false)
	if violation != nil {
		t.Fatalf("the request may have run twice: %v", violation)
	}
	t.Logf("%d states", states)
	if states, violation = searchEventOrders(true); violation == nil {
		t.Errorf("the injected fault was not detected in %d states", states)
	} else {
		t.Logf("the injected fault was detected after %d states: %v", states, violation)
	}
}
