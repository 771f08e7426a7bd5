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

// What an operator does.
const (
	maxOpenOrders = 8
	callWithin    = time.Second
	maxTries      = 40
	shortestPause = 50 * time.Millisecond // between two tries
	longestPause  = 250 * time.Millisecond
	orderEvery    = 300 * time.Millisecond // on average
	fetchEvery    = 400 * time.Millisecond
	repeatShare   = 0.15 // of the acknowledged orders are sent again
	repeatsAtMost = 2
)

// operator sends orders, eight at once at most, and reads the configuration. A call whose answer is lost is sent again at
// another member, until it is acknowledged or refused.
type operator struct {
	*process
	stopped bool
	open    int
	backlog int // orders to be sent as fast as they are taken
}

// changeRequest is a call and its tries.
type changeRequest struct {
	id      string
	body    []byte
	items   []history.ItemVersion
	tries   int
	repeats int
	last    string // member that was tried last
}

func newOperator(w *World, name string) *operator { return &operator{process: w.newProcess(name, "")} }

func (o *operator) begin() {
	o.beginIncarnation()
	o.orderLoop()
	o.fetchLoop()
}

func (o *operator) orderLoop() {
	o.after(o.world.between(orderEvery/10, 2*orderEvery), func() {
		if o.stopped {
			return
		}
		if o.open < maxOpenOrders {
			o.newOrder()
		}
		o.orderLoop()
	})
}

// flood has so many orders sent, as fast as they are taken.
func (o *operator) flood(count int) {
	o.backlog += count
	for o.open < maxOpenOrders && o.backlog > 0 {
		o.backlog--
		o.newOrder()
	}
}

func (o *operator) newOrder() {
	w := o.world
	body := w.draftModifyRequest()
	items, err := config.ParseItems(body)
	if err != nil {
		panic("sim: an operator words a call that can't be read: " + err.Error())
	}
	o.open++
	o.try(&changeRequest{id: fmt.Sprintf("%s-%d", o.name, w.id()), body: body, items: itemVersions(items)})
}

func (o *operator) over(x *changeRequest, outcome history.Outcome) {
	w := o.world
	if outcome == history.Acknowledged && x.repeats < repeatsAtMost && w.chance(repeatShare) {
		x.repeats++
		o.after(w.between(shortestPause, 10*longestPause), func() { o.try(x) })
		return
	}
	o.open--
	o.flood(0)
}

// try sends an order to a member.
func (o *operator) try(x *changeRequest) {
	x.tries++
	member := o.member(x.last)
	x.last = member
	begun := o.world.now
	o.call(member, func(h *replicaHost, done func(replica.Reply)) { h.modify(x.body, done) }, func(r replica.Reply) {
		outcome := history.Unknown
		switch r.Status {
		case http.StatusOK:
			outcome = history.Acknowledged
		case http.StatusConflict, http.StatusBadRequest, http.StatusForbidden:
			outcome = history.Refused
		}
		o.world.history.Record(history.Change{Call: history.Call{Process: o.name, Begin: begun, Return: o.world.now, Outcome: outcome}, ChangeID: x.id,
			Member: o.world.memberName(member), Items: x.items})
		o.world.trace("order", x.id, member, []byte(outcome))
		if outcome == history.Unknown && x.tries < maxTries {
			o.after(o.world.between(shortestPause, longestPause), func() { o.try(x) })
			return
		}
		o.over(x, outcome)
	})
}

// member is one to call, another than the last if there is another.
func (o *operator) member(last string) string {
	var l []string
	for _, a := range o.world.replicaAddresses() {
		if a != last {
			l = append(l, a)
		}
	}
	if len(l) == 0 {
		return last
	}
	return l[o.world.random.IntN(len(l))]
}

func (o *operator) fetchLoop() {
	o.after(o.world.between(fetchEvery/10, 2*fetchEvery), func() {
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
		h.fetch(func(set config.Document, ok bool) {
			if !ok {
				done(replica.Unavailable("not confirmed"))
				return
			}
			text, err := json.Marshal(config.ModifyRequest{Upsert: &set})
			if err != nil {
				panic("sim: a configuration can't be worded: " + err.Error())
			}
			done(replica.Reply{Status: http.StatusOK, Body: text})
		})
	}, func(r replica.Reply) {
		f := history.Fetch{Call: history.Call{Process: o.name, Begin: begun, Return: o.world.now, Outcome: history.Unknown}, Member: o.world.memberName(member)}
		if r.Status == http.StatusOK {
			items, err := config.ParseItems(r.Body)
			if err != nil {
				panic("sim: a configuration that was handed out can't be read: " + err.Error())
			}
			f.Outcome, f.Items = history.Acknowledged, itemVersions(items)
		}
		o.world.history.Record(f)
		o.world.trace("fetch", o.name, member, []byte(f.Outcome))
	})
}

// call makes a call of HTTP: the answer comes once, a lost one as Unavailable after callWithin.
func (o *operator) call(member string, at func(*replicaHost, func(replica.Reply)), done func(replica.Reply)) {
	n := &o.world.network
	over := false
	finish := func(r replica.Reply) {
		if !over {
			over = true
			done(r)
		}
	}
	o.after(callWithin, func() { finish(replica.Unavailable("no answer")) })
	h := o.world.listener(member)
	if h == nil {
		return
	}
	answer := func(r replica.Reply) {
		n.carry(h.process, o.process, n.delay(), func() { o.post(func() { finish(r) }) })
	}
	n.carry(o.process, h.process, n.delay(), func() {
		if !h.up {
			answer(replica.Unavailable("connection refused"))
			return
		}
		life, answered := h.incarnation, false
		once := func(r replica.Reply) {
			if !answered && h.up && h.incarnation == life {
				answered = true
				answer(r)
			}
		}
		h.post(func() { at(h, once) })
		h.world.after(replica.CallTimeout, func() { once(replica.Unavailable("not agreed on in time; it may still be taken")) })
	})
}

// memberName is the process that listens at an address.
func (w *World) memberName(address string) string {
	for _, h := range w.replicas {
		if h.address == address {
			return h.name
		}
	}
	return address
}
