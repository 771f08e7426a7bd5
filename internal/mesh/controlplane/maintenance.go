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
	"cranegrade/internal/mesh/transport/wire"
)

const (
	clockInterval     = 5 * time.Second // between two times of day that are committed
	silenceTimeout    = 5 * time.Second // after which a sidecar that does not answer is waited for no longer
	downloadAllowance = 10 * time.Second
	maintenanceMargin = 10 * time.Second // that stays before a window ends
	warmUpTime        = 3 * time.Second
)

const textAnotherOrderBegins = "another order begins"

// maintenanceController carries out maintenance orders while this member leads: it surveys the mesh, has the time of day committed,
// and takes each open order one step further when the plan of internal/mesh/maintenance allows it. Nothing of it runs where there are
// neither contracts nor orders. It belongs to the loop's goroutine.
type maintenanceController struct {
	log      zerolog.Logger
	settings *atomic.Pointer[settings.Settings]
	clock    *clock
	replica  *replica.Replica
	survey   *surveyor
	self     string         // this member's address
	initial  *initialOrders // nil: none

	contracts      []maintenance.Contract // as of the change contractsIndex
	contractsIndex uint64
	timeAgreedAt   time.Duration // when this leader last proposed a time of day; 0: never
	trustClocks    bool          // an operator says that the clocks are right, whatever was committed before
	readySince     map[string]time.Duration
	waitingFor     map[string]string // by order: what it waits for
	// pending are the steps that were proposed under this leadership and are not decided: nothing is decided on a book of orders that
	// is about to change.
	pending, leadership int
}

// tick sees to orders and to the committed time of day.
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

// stepDown forgets what a leader knows.
func (c *maintenanceController) stepDown() {
	c.survey.forget()
	c.readySince, c.timeAgreedAt, c.trustClocks = nil, 0, false
	c.pending, c.leadership = 0, c.leadership+1
}

// currentContracts are the contracts in the configuration, read anew only where an item has changed since.
func (c *maintenanceController) currentContracts() []maintenance.Contract {
	state := c.replica.State()
	if state.ItemsIndex != c.contractsIndex {
		c.contractsIndex, c.contracts = state.ItemsIndex, readContracts(state.Items)
	}
	return c.contracts
}

func readContracts(items config.Table) (contracts []maintenance.Contract) {
	for _, item := range items.Items() {
		if item.Kind != config.KindContract || item.Deleted {
			continue
		}
		var contract maintenance.Contract
		if json.Unmarshal(item.Body, &contract) == nil { // what was committed was checked before
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

// agreedTime is what time of day it may be; false: none was committed in this term.
func (c *maintenanceController) agreedTime() (maintenance.TimeBounds, bool) {
	state := &c.replica.State().Maintenance
	return state.Clock.Now(c.replica.LogTime(c.clock.now())), state.Clock.IsKnown() && state.ClockTerm == c.replica.Term()
}

// propose has a change of the maintenance state committed. done is called once, on the loop's goroutine, with the error of applying it,
// or an api.Error where its fate is not known.
func (c *maintenanceController) propose(kind byte, change any, done func(error)) {
	text, err := json.Marshal(change)
	if err != nil {
		done(errors.Annotate(err, "encode a change of the maintenance state"))
		return
	}
	entry := replica.EncodeChange(replica.ChangeMaintenance, &wire.MaintenanceChangeT{Kind: kind, Json: text})
	proposed := c.replica.Propose(c.clock.now(), entry, func(result replica.ProposalResult) {
		if !result.Known {
			done(api.NewError(http.StatusServiceUnavailable, textLeaderChanged))
			return
		}
		done(result.Outcome.Err)
	})
	if !proposed {
		done(api.NewError(http.StatusServiceUnavailable, textNotLeader))
	}
}

// advanceOrders takes each open order one step further, if it can go.
func (c *maintenanceController) advanceOrders() {
	if !c.replica.IsReadyLeader() || c.pending > 0 {
		return
	}
	now, known := c.agreedTime()
	c.waitingFor = map[string]string{}
	draining := false // one machine at a time begins to drain: the next plan has to know of it
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

// proposeStep proposes the next step of an order. Until it is decided on, no other is.
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
