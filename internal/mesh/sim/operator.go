package sim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/history"
	"cranegrade/internal/mesh/replica"
)

// Behaviour of an operator.
const (
	maxOpenChanges      = 8
	operatorCallTimeout = time.Second
	maxAttempts         = 40                     // of one change
	minPause            = 50 * time.Millisecond  // between two attempts
	maxPause            = 250 * time.Millisecond // between two attempts
	meanChangeInterval  = 300 * time.Millisecond // on average
	meanFetchInterval   = 400 * time.Millisecond
	repeatShare         = 0.15 // of the acknowledged changes are sent again
	maxRepeats          = 2    // of one change
)

// operator changes the configuration, with maxOpenChanges changes in flight at most, and reads it. A change whose answer is lost is
// sent again to another member, until it is acknowledged or refused.
type operator struct {
	*process
	stopped  bool
	inFlight int
	backlog  int // changes to be sent as fast as they are accepted
}

// changeRequest is a change and its attempts.
type changeRequest struct {
	id       string
	body     []byte
	items    []history.ItemVersion
	attempts int
	repeats  int
	last     string // member of the last attempt
}

// newOperator returns an operator that has not begun.
func newOperator(w *World, name string) *operator { return &operator{process: w.newProcess(name, "")} }

// begin starts the operator.
func (o *operator) begin() {
	o.beginIncarnation()
	o.changeLoop()
	o.fetchLoop()
}

// changeLoop begins a change from time to time.
func (o *operator) changeLoop() {
	o.after(o.world.between(meanChangeInterval/10, 2*meanChangeInterval), func() {
		if o.stopped {
			return
		}
		if o.inFlight < maxOpenChanges {
			o.newChange()
		}
		o.changeLoop()
	})
}

// flood sends a number of changes as fast as they are accepted.
func (o *operator) flood(count int) {
	o.backlog += count
	for o.inFlight < maxOpenChanges && o.backlog > 0 {
		o.backlog--
		o.newChange()
	}
}

// newChange drafts a change and sends it.
func (o *operator) newChange() {
	w := o.world
	body := w.draftModifyRequest()
	items, err := config.ParseItems(body)
	if err != nil {
		panic("sim: an operator has drafted an invalid call: " + err.Error())
	}
	o.inFlight++
	o.try(&changeRequest{
		id:    fmt.Sprintf("%s-%d", o.name, w.id()),
		body:  body,
		items: itemVersions(items),
	})
}

// finished handles the last outcome of a change. Some acknowledged changes are sent again, as by a client that has lost the answer.
func (o *operator) finished(change *changeRequest, outcome history.Outcome) {
	w := o.world
	if outcome == history.Acknowledged && change.repeats < maxRepeats && w.chance(repeatShare) {
		change.repeats++
		o.after(w.between(minPause, 10*maxPause), func() { o.try(change) })
		return
	}
	o.inFlight--
	o.flood(0)
}

// try sends a change to a member.
func (o *operator) try(change *changeRequest) {
	change.attempts++
	member := o.member(change.last)
	change.last = member
	begun := o.world.now
	o.call(member, func(h *replicaHost, done func(replica.Reply)) { h.modify(change.body, done) }, func(r replica.Reply) {
		outcome := history.Unknown
		switch r.Status {
		case http.StatusOK:
			outcome = history.Acknowledged
		case http.StatusConflict, http.StatusBadRequest, http.StatusForbidden:
			outcome = history.Refused
		}
		o.world.history.Record(history.Change{
			Call:     o.callSince(begun, outcome),
			ChangeID: change.id,
			Member:   o.world.memberName(member),
			Items:    change.items,
		})
		o.world.trace("change", change.id, member, []byte(outcome))
		if outcome == history.Unknown && change.attempts < maxAttempts {
			o.after(o.world.between(minPause, maxPause), func() { o.try(change) })
			return
		}
		o.finished(change, outcome)
	})
}

// member draws a member to call, other than the last one if possible.
func (o *operator) member(last string) string {
	var candidates []string
	for _, a := range o.world.replicaAddresses() {
		if a != last {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return last
	}
	return candidates[o.world.random.IntN(len(candidates))]
}

func (o *operator) fetchLoop() {
	o.after(o.world.between(meanFetchInterval/10, 2*meanFetchInterval), func() {
		if o.stopped {
			return
		}
		o.fetch()
		o.fetchLoop()
	})
}

func (o *operator) fetch() {
	member, begun := o.member(""), o.world.now
	o.call(member, func(h *replicaHost, done func(replica.Reply)) {
		h.fetch(func(fetched replica.FetchResult) {
			if !fetched.Confirmed {
				done(replica.Unavailable("not confirmed"))
				return
			}
			text, err := json.Marshal(config.ModifyRequest{Upsert: &fetched.Document})
			if err != nil {
				panic("sim: a configuration can't be encoded: " + err.Error())
			}
			done(replica.Reply{Status: http.StatusOK, Body: text})
		})
	}, func(r replica.Reply) {
		f := history.Fetch{Call: o.callSince(begun, history.Unknown), Member: o.world.memberName(member)}
		if r.Status == http.StatusOK {
			items, err := config.ParseItems(r.Body)
			if err != nil {
				panic("sim: a fetched configuration is invalid: " + err.Error())
			}
			f.Outcome, f.Items = history.Acknowledged, itemVersions(items)
		}
		o.world.history.Record(f)
		o.world.trace("fetch", o.name, member, []byte(f.Outcome))
	})
}

// call simulates an HTTP call. done gets one answer: that of the member, or Unavailable after operatorCallTimeout.
func (o *operator) call(member string, handle func(*replicaHost, func(replica.Reply)), done func(replica.Reply)) {
	n := &o.world.network
	finished := false
	finish := func(r replica.Reply) {
		if !finished {
			finished = true
			done(r)
		}
	}
	o.after(operatorCallTimeout, func() { finish(replica.Unavailable("no answer")) })
	host := o.world.listener(member)
	if host == nil {
		return
	}
	answer := func(r replica.Reply) {
		n.carry(host.process, o.process, n.delay(), func() { o.post(func() { finish(r) }) })
	}
	n.carry(o.process, host.process, n.delay(), func() {
		if !host.up {
			answer(replica.Unavailable("connection refused"))
			return
		}
		incarnation, answered := host.incarnation, false
		once := func(r replica.Reply) {
			if !answered && host.up && host.incarnation == incarnation {
				answered = true
				answer(r)
			}
		}
		host.post(func() { handle(host, once) })
		host.world.after(replica.CallTimeout, func() { once(replica.Unavailable("not committed in time; it may still be")) })
	})
}

// memberName returns the name of the process that listens at an address.
func (w *World) memberName(address string) string {
	for _, h := range w.replicas {
		if h.address == address {
			return h.name
		}
	}
	return address
}
