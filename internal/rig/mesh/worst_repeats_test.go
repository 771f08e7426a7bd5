package mesh

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"hollyspur/internal/mesh/history"
	"hollyspur/internal/rig"
)

// repeatRounds is how often eight orders are under way at once.
const repeatRounds = 6

// Two operators, four orders each under way at once, which give every version two contents. One register's answers to them are lost,
// and the leader is killed, cut off or sound. Each order is sent on to other registers until it is acknowledged or refused, and once
// more after that. Of each version one content is acknowledged; an order that was taken is acknowledged again or left open.
func TestRepeatedOrders(t *testing.T) {
	m, relay := startRelayed(t, 3, 1, "stock", "orders")
	seen, operators := newObserver(), []*Operator{m.Operator(0), m.Operator(1)}
	seen.begins()
	stop := seen.watch(m.Registers...)
	for round := range repeatRounds {
		deaf := m.Registers[round%3]
		for _, by := range operators {
			relay.Set(rig.Link{Cut: true}, by.Way(deaf).Back())
		}
		orders := ordersOf(round, operators)
		under := seen.sendAll(orders, m.Registers, round)
		lead := m.leader(t)
		restore := m.strike(t, relay, lead, round)
		under.Wait()
		restore()
		relay.Heal()
		again := seen.sendAll(orders, m.Registers, round+1)
		again.Wait()
		seen.oneContent(t, orders)
		for _, x := range m.Registers {
			seen.fetched(t, operators[0], x)
		}
	}
	stop()
	seen.check(t)
	m.clean(t)
}

// placed is an order and who gives it.
type placed struct {
	order
	by *Operator
}

// ordersOf are those of a round: of four routes the same version by each operator, each with a content of its own.
func ordersOf(round int, operators []*Operator) (l []placed) {
	for n := range 4 {
		for i, by := range operators {
			content := fmt.Sprintf("/by-%d-%d-%d/", i, n, round)
			l = append(l, placed{orderOf(fmt.Sprintf("%d-%d-%d", i, n, round), fmt.Sprint("race-", n), round+2, content), by})
		}
	}
	return l
}

// sendAll sends all orders at once, each until it is acknowledged or refused, at the registers in turn.
func (o *observer) sendAll(orders []placed, at []*Machine, first int) *sync.WaitGroup {
	var all sync.WaitGroup
	for n, x := range orders {
		all.Go(func() {
			for try := first + n; try < first+n+3*len(at); try++ {
				if outcome, _ := o.send(x.by, at[try%len(at)], x.order); outcome != history.Unknown {
					return
				}
			}
		})
	}
	return &all
}

// strike does to the leader what a round is for, and gives how to undo it.
func (m *Mesh) strike(t *testing.T, relay *rig.Relay, lead *Machine, round int) (restore func()) {
	t.Helper()
	switch round % 3 {
	case 0:
		lead.Kill()
		m.leader(t, m.but(lead)...)
		return func() { assert.NilError(t, lead.Start()) }
	case 1:
		relay.Set(rig.Link{Cut: true}, apart(lead, m.but(lead)...)...)
		m.leader(t, m.but(lead)...)
	case 2:
		for _, x := range m.but(lead) {
			relay.Reset(lead.Way(x))
		}
	}
	return func() {}
}

// oneContent checks that each route's version has been acknowledged for one operator, and refused to none whose order it was.
func (o *observer) oneContent(t *testing.T, orders []placed) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	outcomes := map[string]map[history.Outcome]int{} // by order
	for _, c := range o.h.Changes {
		if outcomes[c.Order] == nil {
			outcomes[c.Order] = map[history.Outcome]int{}
		}
		outcomes[c.Order][c.Outcome]++
	}
	for n := 0; n < len(orders); n += 2 {
		one, other := outcomes[orders[n].name], outcomes[orders[n+1].name]
		assert.Assert(t, (one[history.Acknowledged] > 0) != (other[history.Acknowledged] > 0), "%s %v, %s %v", orders[n].name, one, orders[n+1].name, other)
		for _, x := range []map[history.Outcome]int{one, other} {
			assert.Assert(t, x[history.Acknowledged] == 0 || x[history.Refused] == 0, "acknowledged and refused: %v", x)
		}
	}
}
