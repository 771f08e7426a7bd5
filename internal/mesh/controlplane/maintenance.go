package controlplane

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/settings"
)

const (
	clockInterval     = 5 * time.Second  // between two commits of the time of day
	silenceTimeout    = 5 * time.Second  // after which an order no longer waits for a sidecar that does not answer
	downloadAllowance = 10 * time.Second // extra drain time for responses of download routes
	maintenanceMargin = 10 * time.Second // must remain before a maintenance window ends
	warmUpTime        = 3 * time.Second  // how long a machine has to be ready before it counts as warm
)

// textAnotherOrderBegins is the reason why an order waits while another one begins.
const textAnotherOrderBegins = "another order begins"

// maintenanceController carries out maintenance orders while this member leads: it surveys the mesh, commits the agreed time of day, and
// advances each open order by one step when the plan of internal/mesh/maintenance allows it. It does nothing while there are neither
// contracts nor orders. It belongs to the loop's goroutine.
type maintenanceController struct {
	log      zerolog.Logger
	settings *atomic.Pointer[settings.Settings]
	clock    *clock
	replica  *replica.Replica
	survey   *surveyor
	self     string         // this member's address
	initial  *initialOrders // or nil

	initialProgress initialOrdersProgress

	contracts      []maintenance.Contract // in the configuration of log index contractsIndex
	contractsIndex uint64
	timeAgreedAt   time.Duration            // when this leader last proposed a time of day, or 0 if it never has
	trustClocks    bool                     // an operator has confirmed that the clocks are right, whatever was committed before
	readySince     map[string]time.Duration // by address: since when the machine has been ready
	waitingFor     map[string]string        // by order: what it waits for
	// pending is how many steps were proposed in this leadership and are neither applied nor lost. No further step is chosen meanwhile,
	// since it would be based on orders that are about to change.
	pending int
	// leadership counts how often this member has stepped down, so that steps of an earlier leadership are not counted as pending.
	leadership int
}

// tick starts a survey if orders or the committed time of day need one.
func (c *maintenanceController) tick(now time.Duration) {
	if !c.replica.IsLeader() {
		c.stepDown()
		return
	}
	open := len(c.replica.State().Maintenance.Orders.Open())
	c.placeInitialOrders(now)
	if open == 0 && (len(c.currentContracts()) == 0 || now-c.timeAgreedAt < clockInterval) {
		if !c.replica.State().Policy.Rollout.IsPending() {
			c.survey.connections.close()
		}
		return
	}
	if c.survey.due(now) {
		c.survey.start(func() {
			c.agreeTime()
			c.advanceOrders()
		})
	}
}

// stepDown discards the state that only a leader has.
func (c *maintenanceController) stepDown() {
	c.survey.discardResults()
	c.readySince = nil
	c.timeAgreedAt = 0
	c.trustClocks = false
	c.pending = 0
	c.leadership++
}

// currentContracts returns the contracts in the configuration. They are decoded again only after an item has changed.
func (c *maintenanceController) currentContracts() []maintenance.Contract {
	state := c.replica.State()
	if state.ItemsIndex != c.contractsIndex {
		c.contractsIndex, c.contracts = state.ItemsIndex, readContracts(state.Items)
	}
	return c.contracts
}

// readContracts decodes the contracts among items.
func readContracts(items config.Table) (contracts []maintenance.Contract) {
	for _, item := range items.Items() {
		if item.Kind != config.KindContract || item.Deleted {
			continue
		}
		var contract maintenance.Contract
		if json.Unmarshal(item.Body, &contract) == nil { // contracts are validated before they are committed
			contracts = append(contracts, contract)
		}
	}
	return contracts
}

// agreeTime proposes the time of day on which the members' clocks agree.
func (c *maintenanceController) agreeTime() {
	now := c.clock.now()
	state := &c.replica.State().Maintenance
	inThisTerm := state.ClockTerm == c.replica.Term()
	if !c.replica.IsLeader() || c.timeAgreedAt > 0 && now-c.timeAgreedAt < clockInterval && inThisTerm {
		return
	}
	members, _ := c.replica.Members()
	gap := c.replica.LeaderGap()
	if inThisTerm {
		gap = 0
	}
	committed := state.Clock
	if c.trustClocks {
		committed = maintenance.Clock{}
	}
	agreed, err := committed.Agree(c.replica.LogTime(now), c.survey.samples, now, len(members), gap)
	if err != nil {
		c.log.Warn().Err(err).Int("samples", len(c.survey.samples)).Int("members", len(members)).Msg("no time of day agreed on")
		return
	}
	c.timeAgreedAt, c.trustClocks = now, false
	c.propose(replica.MaintenanceClock, agreed, func(error) {})
}

// agreedTime returns the bounds of the time of day. ok is false if none was committed in this term.
func (c *maintenanceController) agreedTime() (bounds maintenance.TimeBounds, ok bool) {
	state := &c.replica.State().Maintenance
	return state.Clock.Now(c.replica.LogTime(c.clock.now())), state.Clock.IsKnown() && state.ClockTerm == c.replica.Term()
}

// propose proposes a change of the maintenance state. done is called once, on the loop's goroutine: with the error of applying the
// change, or with an api.Error if it is not known whether the change was committed.
func (c *maintenanceController) propose(kind replica.MaintenanceKind, change any, done func(error)) {
	text, err := json.Marshal(change)
	if err != nil {
		done(errors.Annotate(err, "encode a change of the maintenance state"))
		return
	}
	proposed := c.replica.Propose(c.clock.now(), replica.EncodeMaintenanceChange(kind, text), func(result replica.ProposalResult) {
		if !result.Known {
			done(api.NewError(http.StatusServiceUnavailable, replica.TextLeaderChanged))
			return
		}
		done(result.Outcome.Err)
	})
	if !proposed {
		done(api.NewError(http.StatusServiceUnavailable, replica.TextLeadershipLost))
	}
}

// advanceOrders proposes the next step of each open order, and records why the others wait.
func (c *maintenanceController) advanceOrders() {
	if !c.replica.IsReadyLeader() || c.pending > 0 {
		return
	}
	now, known := c.agreedTime()
	c.waitingFor = map[string]string{}
	draining := false // only one machine at a time begins to drain, since the plan for the next has to take it into account
	for _, order := range c.replica.State().Maintenance.Orders.Open() {
		if !known {
			c.waitingFor[order.ID] = maintenance.ErrNoAgreedTime.Error()
			continue
		}
		change, ok, waitsFor := order.Next(c.meshView(order.ID), c.observe(order), now)
		switch {
		case !ok:
			c.waitingFor[order.ID] = waitsFor
		case change.Step == maintenance.StepDraining && draining:
			c.waitingFor[order.ID] = textAnotherOrderBegins
		default:
			draining = draining || change.Step == maintenance.StepDraining
			c.proposeStep(order, change)
		}
	}
}

// proposeStep proposes the next step of an order. No other step is proposed until this one is applied or lost.
func (c *maintenanceController) proposeStep(order maintenance.Order, change maintenance.OrderChange) {
	c.log.Info().Str("order_id", order.ID).Str("machine", order.CurrentMachine()).Str("step", string(change.Step)).Str("reason", change.Text).
		Msg("maintenance step proposed")
	c.pending++
	leadership := c.leadership
	c.propose(replica.MaintenanceUpdate, change, func(error) {
		if c.leadership == leadership {
			c.pending--
		}
	})
}
