package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// What a Balancer remembers: types and how they begin; the files of the policy fill and read them.

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	set       Settings
	rng       *rand.Rand
	now       time.Duration
	out       []Action
	servers   map[string]*server
	ready     []*server       // ready servers in the shared order
	largest   float64         // size in the subset
	meanSize  float64         // of the subset
	chosen    map[string]bool // ids that the subset is to be of; nil: it is cut by number
	subset    []*server       // those of them that this copy's first attempts are drawn from, in that order
	requests  map[string]*request
	held      []*request
	classes   map[string]*class
	tenants   tenants
	quotas    map[string]*quota // of the tenants that have one
	quotaList []*quota          // the same, to walk
	order     []*class          // every class in the order of the settings, then the unknown one

	spread    float64 // variance of single answers' log latencies round their server's mean
	errors    float64 // share of bad endings among all attempts
	lastOK    time.Duration
	tokens    float64 // retry budget
	divisor   float64 // what a ration of all copies is divided by for this one; +Inf: nothing is this copy's
	window    float64 // own calls admitted at once (first tier)
	takes     float64 // calls a server that all copies together always admit
	whole     bool    // first attempts are drawn from the whole list
	usable    float64 // share of the ready servers that may take calls, and when that was counted; <0: stale
	usableAt  time.Duration
	astray    int           // own calls out at servers that are not ready, or beyond the part of one that is
	fill      float64       // mean latency over aim
	debt      float64       // time that calls hold servers, beyond what the window allows, in ns
	pace      float64       // mean log of latency over aim
	answers   float64       // that these are of
	bare      float64       // least pace seen, forgetting slowly
	fresh     float64       // part of the list that it is not of yet
	debtAt    time.Duration // when that was reckoned
	inFlight  int
	vain      float64 // share of calls that were given up on, late
	ghost     float64 // calls given up whose servers may work on, as of ghostAt
	ghostFor  float64 // time over which they fade, in ns
	ghostAt   time.Duration
	shed      float64 // share of requests answered without an attempt
	subFails  int
	heard     time.Duration // when discovery last was
	subWanted time.Duration
}

// service is how many requests came and how many were served in time, of late.
type service struct{ arrive, serve float64 }

func (s *service) fade() {
	s.arrive *= 0.99
	s.serve *= 0.99
}

// worse says that a smaller share was served than of o; of next to none no share is told.
func (s service) worse(o service) bool { return s.arrive > 1 && s.serve*o.arrive < o.serve*s.arrive }

// class holds what was learned of a class.
type class struct {
	Class
	mean, dev float64 // latency of successes, in ns
	cost      float64 // mean hint of the work, in ns; 0: none yet
	service
	longestTry time.Duration
}

// tenants are who asked of late and what each was served, the most recent counting most.
type tenants struct {
	byName map[string]*tenant
	served float64 // of all
	scale  float64 // what one counts now: instead of every old count shrinking, new ones grow
	active float64 // tenants that asked of late, as of the last count
	since  int     // requests since that
}

// tenant is one of them.
type tenant struct{ asked, served float64 }

// quota is a tenant's part of what the copies take together, and how it was served within that.
type quota struct {
	whole   float64 // requests a second of all copies together
	rate    float64 // those that are this copy's
	burst   float64 // the most that room may be
	room    float64 // requests that are within it now, as of at
	at      time.Duration
	service // of requests within it
}

// divide makes a part of the whole this copy's. What has piled up stays within the new part's burst.
func (q *quota) divide(by float64) {
	q.rate = q.whole / by
	q.burst = max(1, quotaBurst*q.rate)
	if math.IsInf(by, 1) { // nothing of it is this copy's
		q.burst = 0
	}
	q.room = min(q.room, q.burst)
}

// fill adds to room what has come in since it was last reckoned.
func (q *quota) fill(now time.Duration) {
	q.room = min(q.burst, q.room+q.rate*(now-q.at).Seconds())
	q.at = now
}

// server is a listed server, or one that left with calls of ours still out.
type server struct {
	Server
	listed bool
	right  bool       // of the two groups
	calls  int        // own calls in flight
	open   []*attempt // the same calls in order of sending

	streak   int // bad endings in a row
	level    int // doublings of the next ejection
	goods    int // good endings in a row
	until    time.Duration
	aside    time.Duration // until then it is not drawn, on others' word
	slow     float64       // mean log of latency over the class mean
	samples  int
	lastOK   time.Duration
	took     time.Duration // when the youngest call was sent that it is known to have taken
	room     int           // own calls that it had taken when it refused one more, and since
	turned   time.Duration // when that was
	full     time.Duration // no more than room until then
	refusals int           // in a row
}

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id        string
	class     *class
	tenant    *tenant         // nil: tenants are not told apart
	quota     *quota          // nil: the tenant has none
	over      bool            // asked beyond it
	among     map[string]bool // servers that it may go to; nil: any
	places    []Place         // and places, in order; nil: any
	arrived   time.Duration
	deadline  time.Duration
	cost      float64 // hint of the work, in ns; 0: none
	attempts  []*attempt
	out       int
	repeat    bool // by the client, where clients say so
	held      bool
	answered  bool
	streaming bool
	spent     bool // it can't be sent again
	wake      time.Duration
}

// attempt is one send of a request.
type attempt struct {
	req    *request
	srv    *server
	n      int
	sent   time.Duration
	zone   string
	cell   int
	began  time.Duration // its streamed answer did; 0: none has
	freed  bool          // it counts no more as a call of ours
	ended  bool
	unsent bool // proven never to have run
}

// took is how long the attempt's answer was waited for, until now or until it began.
func (a *attempt) took(now time.Duration) time.Duration {
	if a.began > 0 {
		now = a.began
	}
	return now - a.sent
}

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, 0x51a7e)),
		servers: map[string]*server{}, requests: map[string]*request{},
		classes: map[string]*class{}, quotas: map[string]*quota{}, errors: 0.02, tokens: retryPurse / 2,
		divisor: float64(max(1, set.Balancers)), takes: windowFloor,
		fill: aimFill / 2, bare: math.Log(aimFill / 2), pace: math.Log(aimFill / 2)}
	longest := set.Classes[0]
	for _, c := range set.Classes {
		b.addClass(c)
		if c.Deadline > longest.Deadline {
			longest = c
		}
	}
	for _, t := range set.Tenants {
		q := &quota{whole: t.Quota, room: math.Inf(1)}
		q.divide(b.divisor)
		b.quotas[t.Name] = q
		b.quotaList = append(b.quotaList, q)
	}
	b.addClass(Class{Aim: longest.Aim, Deadline: longest.Deadline, Worth: longest.Worth})
	return b, nil
}

func (b *Balancer) addClass(c Class) {
	k := &class{Class: c, mean: float64(c.Aim) / 4, dev: float64(c.Aim) / 8}
	if c.Typical > 0 {
		k.mean, k.dev = float64(c.Typical), float64(c.Typical)/2
	}
	b.classes[c.Name] = k
	b.order = append(b.order, k)
}

// takeClasses adds classes, or tells those that there are anew: what was learned of them stays.
func (b *Balancer) takeClasses(l []Class) {
	for _, c := range l {
		if k := b.classes[c.Name]; k != nil && c.Name != "" {
			if k.Deadline != c.Deadline {
				k.longestTry = 0 // what clients wait is found out anew
			}
			k.Class = c
		} else if c.Name != "" {
			b.addClass(c)
			n := len(b.order) // the unknown one stays the last
			b.order[n-2], b.order[n-1] = b.order[n-1], b.order[n-2]
		}
	}
}
