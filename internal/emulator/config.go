package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"cranegrade/balancer"
)

// DecisionModule decides for one node; *balancer.Balancer is one.
type DecisionModule interface {
	Handle(now time.Duration, event balancer.Event) []balancer.Action
}

// Config configures a simulation.
type Config struct {
	Seed    uint64
	Tiers   []Tier // from that of the clients' requests to the last one
	Nodes   int    // of the first tier; default 1
	Classes []Class

	Rate          func(at time.Duration) float64 // requests a second that clients send
	MaxRate       float64                        // highest value of Rate
	Duration      time.Duration                  // until the last arrival
	ClientRetries int                            // of one request, after rejections and when these advise
	NetworkDelay  time.Duration                  // one way between a node and a server

	// NewModule makes the decision module of a node. Where it is nil, or returns nil, the module is a balancer.Balancer.
	NewModule func(tier, index int, settings balancer.Settings) DecisionModule
	Setup     func(*World) // called before anything else, for modules that need the world; may be nil
	Changes   []Change
	Discovery *Discovery // tells the first tier's nodes of its servers; if nil, they learn each change at once
}

// Change is something that is done to the world at a time.
type Change struct {
	At time.Duration
	Do func(*World)
}

// Tier is a service: its servers, and the nodes that call them. The first tier has Config.Nodes nodes. Those of another
// tier are hosted by the servers of the tier before, one by each.
type Tier struct {
	Servers          int
	Cores            float64 // of a server; default 1
	Concurrency      int     // requests that a server runs at a time
	QueueLimit       int     // requests that wait at a server; further ones are rejected
	Slowdown         Slowdown
	DropsAbandoned   bool // a server drops queued requests whose caller has given up
	DownstreamCalls  int  // to the next tier by each request, one after another; default 1
	AdmissionControl bool // its nodes reject load by themselves, as those of the first tier do
	SlowStart        SlowStart
	Settings         balancer.Settings
}

// Class is a class of requests.
type Class struct {
	balancer.Class
	Share        float64         // of the requests
	Work         []time.Duration // mean work at each tier, on a server of speed 1
	Distribution Distribution    // of the work
	Tenant       string          // several entries may be of one class, each for a tenant
}

// Key names the class and the tenant in World.Classes.
func (c Class) Key() string {
	if c.Tenant == "" {
		return c.Name
	}
	return c.Name + "/" + c.Tenant
}

// DistributionKind is a family of distributions.
type DistributionKind int

// The families.
const (
	Constant DistributionKind = iota
	Exponential
	Lognormal
	Pareto
)

// Distribution is a distribution of work with the mean 1. The zero value is constant.
type Distribution struct {
	Kind DistributionKind
	CV   float64 // coefficient of variation of Lognormal and Pareto; over 1 is a heavy tail
}

// draw draws a value whose mean is 1.
func (d Distribution) draw(random *rand.Rand) float64 {
	switch d.Kind {
	case Exponential:
		return random.ExpFloat64()
	case Lognormal:
		variance := math.Log(1 + d.CV*d.CV) // of the logarithm
		return math.Exp(random.NormFloat64()*math.Sqrt(variance) - variance/2)
	case Pareto:
		// CV^2 = 1/(shape*(shape-2)), solved for the shape.
		shape := 1 + math.Sqrt(1+1/(d.CV*d.CV))
		return (shape - 1) / shape * math.Pow(1-random.Float64(), -1/shape)
	case Constant:
	}
	return 1
}

// SlowdownKind is a way in which servers slow down under load.
type SlowdownKind int

// The kinds.
const (
	NoSlowdown           SlowdownKind = iota
	ProportionalSlowdown              // by a share for each request beyond a threshold
	CliffSlowdown                     // by a factor while there are more requests than a threshold
	DelayedSlowdown                   // by a factor once the mean is over a threshold, until the server has rested
)

// Slowdown is how a server slows down under load. The zero value is not at all.
type Slowdown struct {
	Kind      SlowdownKind
	Threshold float64 // requests at the server, running and waiting
	Factor    float64 // proportional: share that each request beyond adds; else how many times slower

	// Of DelayedSlowdown.
	AveragingTime time.Duration // time constant of the mean
	RestShare     float64       // share of busy time below which a server rests
	RestTime      time.Duration // rest that ends the slowdown
	MaxDuration   time.Duration // after which it ends by itself; 0 for never
}

// SlowStart is how a server warms up after its start, and what overloads it meanwhile. balancer.Settings tell nodes the same.
type SlowStart struct {
	InitialShare   float64       // of its speed that it has at its start
	Window         time.Duration // until it has all of its speed; if 0, it starts with that
	OverloadFactor float64       // it fails when more than this times what it can do
	OverloadWindow time.Duration // is sent to it within this time; if 0, it does not fail
}

// Discovery tells the first tier's nodes of its servers. It takes calls one after another, and works on calls as well whose
// node has given up: nothing tells it so.
type Discovery struct {
	CallTime          time.Duration // work of one call
	CallTimeout       time.Duration // after which a node gives a call up
	HeartbeatInterval time.Duration // between messages on each open watch
	WatchTimeout      time.Duration // after which a node gives up a watch without messages
	MaxNoticeTime     time.Duration // after which a node has to act on a change, whether it has heard of it or not
	DrainGrace        time.Duration // for requests that are on their way as a node learns of a change
	ReconnectDelay    time.Duration // of a node, between a watch's end and what follows
	MalformedShare    float64       // share of updates that break off
	DrainToRejection  time.Duration // from being listed as draining until a server rejects requests
}
