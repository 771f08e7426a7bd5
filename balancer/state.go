package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// What a Balancer remembers: types and how they begin; the files of the policy fill and read them.

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	settings    Settings
	rng         *rand.Rand
	now         time.Duration
	actions     []Action
	servers     map[string]*server
	ready       []*server       // ready servers in the shared order
	largestSize float64         // size in the subset
	meanSize    float64         // of the subset
	subsetIDs   map[string]bool // ids that the subset is to be of; nil: it is cut by number
	subset      []*server       // those of them that this copy's first attempts are drawn from, in that order
	requests    map[string]*request
	queue       []*request
	classes     map[string]*class
	tenants     tenants
	quotas      map[string]*quota // of the tenants that have one
	quotaList   []*quota          // the same, to walk
	classList   []*class          // every class in the order of the settings, then the unknown one

	latencyVariance   float64 // variance of single answers' log latencies round their server's mean
	errorShare        float64 // share of bad endings among all attempts
	lastSuccess       time.Duration
	retryTokens       float64 // retry budget
	divisor           float64 // what a ration of all copies is divided by for this one; +Inf: nothing is this copy's
	window            float64 // own calls admitted at once (first tier)
	serverCalls       float64 // calls a server that all copies together always admit
	wholeList         bool    // first attempts are drawn from the whole list
	usableShare       float64 // share of the ready servers that may take calls, and when that was counted; <0: stale
	usableCountedAt   time.Duration
	excessCalls       int           // own calls out at servers that are not ready, or beyond the part of one that is
	targetUse         float64       // mean latency over aim
	pacingDebt        float64       // time that calls hold servers, beyond what the window allows, in ns
	logUse            float64       // mean log of latency over aim
	samples           float64       // that these are of
	leastLogUse       float64       // least pace seen, forgetting slowly
	newShare          float64       // part of the list that it is not of yet
	pacingDebtAt      time.Duration // when that was reckoned
	inFlight          int
	abandonedShare    float64 // share of calls that were given up on, late
	abandonedCalls    float64 // calls given up whose servers may work on, as of ghostAt
	abandonedFade     float64 // time over which they fade, in ns
	abandonedAt       time.Duration
	shedShare         float64 // share of requests answered without an attempt
	subscribeFailures int
	discoveryHeardAt  time.Duration // when discovery last was
	subscribeAt       time.Duration
}

// servedCounts is how many requests came and how many were served in time, of late.
type servedCounts struct{ arrived, served float64 }

func (s *servedCounts) fade() {
	s.arrived *= 0.99
	s.served *= 0.99
}

// isWorseThan says that a smaller share was served than of o; of next to none no share is told.
func (s servedCounts) isWorseThan(o servedCounts) bool {
	return s.arrived > 1 && s.served*o.arrived < o.served*s.arrived
}

// class holds what was learned of a class.
type class struct {
	Class
	mean, deviation float64 // latency of successes, in ns
	cost            float64 // mean hint of the work, in ns; 0: none yet
	servedCounts
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
type tenant struct{ requested, served float64 }

// quota is a tenant's part of what the copies take together, and how it was served within that.
type quota struct {
	total        float64 // requests a second of all copies together
	rate         float64 // those that are this copy's
	burst        float64 // the most that room may be
	available    float64 // requests that are within it now, as of at
	at           time.Duration
	servedCounts // of requests within it
}

// setShare makes a part of the whole this copy's. What has piled up stays within the new part's burst.
func (q *quota) setShare(by float64) {
	q.rate = q.total / by
	q.burst = max(1, quotaBurstSeconds*q.rate)
	if math.IsInf(by, 1) { // nothing of it is this copy's
		q.burst = 0
	}
	q.available = min(q.available, q.burst)
}

// refill adds to room what has come in since it was last reckoned.
func (q *quota) refill(now time.Duration) {
	q.available = min(q.burst, q.available+q.rate*(now-q.at).Seconds())
	q.at = now
}

// server is a listed server, or one that left with calls of ours still out.
type server struct {
	Server
	listed       bool
	inRightGroup bool       // of the two groups
	calls        int        // own calls in flight
	openAttempts []*attempt // the same calls in order of sending

	failureStreak int // bad endings in a row
	ejectionLevel int // doublings of the next ejection
	successStreak int // good endings in a row
	ejectedUntil  time.Duration
	reportedUntil time.Duration // until then it is not drawn, on others' word
	slowness      float64       // mean log of latency over the class mean
	samples       int
	lastSuccess   time.Duration
	acceptedAt    time.Duration // when the youngest call was sent that it is known to have taken
	refusalRoom   int           // own calls that it had taken when it refused one more, and since
	refusedAt     time.Duration // when that was
	fullUntil     time.Duration // no more than room until then
	refusals      int           // in a row
}

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id          string
	class       *class
	tenant      *tenant         // nil: tenants are not told apart
	quota       *quota          // nil: the tenant has none
	overQuota   bool            // asked beyond it
	candidates  map[string]bool // servers that it may go to; nil: any
	places      []Place         // and places, in order; nil: any
	arrived     time.Duration
	deadline    time.Duration
	cost        float64 // hint of the work, in ns; 0: none
	attempts    []*attempt
	inFlight    int
	clientRetry bool // by the client, where clients say so
	queued      bool
	answered    bool
	streaming   bool
	consumed    bool // it can't be sent again
	wakeAt      time.Duration
}

// attempt is one send of a request.
type attempt struct {
	request   *request
	server    *server
	number    int
	sent      time.Duration
	zone      string
	cell      int
	began     time.Duration // its streamed answer did; 0: none has
	callEnded bool          // it counts no more as a call of ours
	ended     bool
	neverRan  bool // proven never to have run
}

// latency is how long the attempt's answer was waited for, until now or until it began.
func (a *attempt) latency(now time.Duration) time.Duration {
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
	b := &Balancer{
		settings: set, rng: rand.New(rand.NewPCG(seed, 0x51a7e)),
		servers: map[string]*server{}, requests: map[string]*request{},
		classes: map[string]*class{}, quotas: map[string]*quota{}, errorShare: 0.02, retryTokens: maxRetryTokens / 2,
		divisor: float64(max(1, set.Balancers)), serverCalls: windowFloor,
		targetUse: targetFill / 2, leastLogUse: math.Log(targetFill / 2), logUse: math.Log(targetFill / 2),
	}
	longest := set.Classes[0]
	for _, c := range set.Classes {
		b.addClass(c)
		if c.Deadline > longest.Deadline {
			longest = c
		}
	}
	for _, t := range set.Tenants {
		q := &quota{total: t.Quota, available: math.Inf(1)}
		q.setShare(b.divisor)
		b.quotas[t.Name] = q
		b.quotaList = append(b.quotaList, q)
	}
	b.addClass(Class{Aim: longest.Aim, Deadline: longest.Deadline, Worth: longest.Worth})
	return b, nil
}

func (b *Balancer) addClass(c Class) {
	k := &class{Class: c, mean: float64(c.Aim) / 4, deviation: float64(c.Aim) / 8}
	if c.Typical > 0 {
		k.mean, k.deviation = float64(c.Typical), float64(c.Typical)/2
	}
	b.classes[c.Name] = k
	b.classList = append(b.classList, k)
}

// handleClasses adds classes, or tells those that there are anew: what was learned of them stays.
func (b *Balancer) handleClasses(l []Class) {
	for _, c := range l {
		if k := b.classes[c.Name]; k != nil && c.Name != "" {
			if k.Deadline != c.Deadline {
				k.longestTry = 0 // what clients wait is found out anew
			}
			k.Class = c
		} else if c.Name != "" {
			b.addClass(c)
			n := len(b.classList) // the unknown one stays the last
			b.classList[n-2], b.classList[n-1] = b.classList[n-1], b.classList[n-2]
		}
	}
}
