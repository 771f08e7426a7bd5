package controlplane

import (
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/duration"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/replica"
)

// initialOrders is the content of a file of contracts and orders, which the leader places once there is a configuration.
type initialOrders struct {
	Contracts json.RawMessage `json:"Contracts"` // the body of a call of PathModify
	Orders    []initialOrder  `json:"Orders"`
}

// initialOrdersProgress records how many of the initialOrders this member has placed. It is kept when the member steps down, so that a
// member that leads again continues where it stopped.
type initialOrdersProgress struct {
	configuredAt time.Duration // when this member, as the leader, first saw a configuration, or 0 if it has not
	placed       int           // how many of initialOrders.Orders were proposed
}

// initialOrder is an order and when to place it.
type initialOrder struct {
	maintenance.Order
	DelaySeconds float64 `json:"AfterS"` // from initialOrdersProgress.configuredAt
}

// delay returns the time from configuredAt after which the order is placed.
func (o initialOrder) delay() time.Duration {
	return duration.FromSeconds(o.DelaySeconds)
}

// readInitialOrders reads and checks a file. It returns nil if file is "".
func readInitialOrders(file string) (*initialOrders, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	orders := &initialOrders{}
	if err := json.Unmarshal(text, orders); err != nil {
		return nil, errors.Annotate(err, "decode")
	}
	if _, err := config.ParseItems(orders.Contracts); err != nil {
		return nil, errors.Annotate(err, "Contracts")
	}
	return orders, nil
}

// placeInitialOrders places the contracts, and then the orders one at a time. A later leader may do so again, since placing an order
// with the same ID twice has no effect.
func (c *maintenanceController) placeInitialOrders(now time.Duration) {
	initial, progress := c.initial, &c.initialProgress
	if initial == nil || c.replica.State().Items.Len() == 0 {
		return
	}
	if progress.configuredAt == 0 {
		progress.configuredAt = now
		c.placeInitialContracts()
		return
	}
	if progress.placed >= len(initial.Orders) || c.survey.running {
		return
	}
	next := initial.Orders[progress.placed]
	if now-progress.configuredAt < next.delay() {
		return
	}
	if c.survey.status == nil { // only a survey provides the machines' names
		c.survey.start(func() {})
		return
	}
	progress.placed++
	order := next.Order
	order.Machines = c.addressesOf(order.Machines)
	c.propose(replica.MaintenanceOrder, order, func(err error) {
		if err != nil {
			c.log.Warn().Err(err).Str("order_id", order.ID).Msg("initial order not placed")
			return
		}
		c.log.Info().Str("order_id", order.ID).Msg("initial order placed")
	})
}

// placeInitialContracts proposes the contracts, once. If the replica rejects the proposal, for instance because too many are in
// flight, or if the proposal is lost with the leadership, this member neither logs that nor proposes them again: the orders are then placed
// without them, and the contracts are missing until another member that was started with the file leads, or an operator applies them.
func (c *maintenanceController) placeInitialContracts() {
	items, _ := config.ParseItems(c.initial.Contracts) // readInitialOrders has checked it
	change := replica.EncodeChange(replica.ChangeItems, config.ItemsToWire(items))
	c.replica.Propose(c.clock.now(), change, func(replica.ProposalResult) {})
}
