package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// This file declares the state of a Balancer and its initial values.

// Balancer makes the decisions of one replica of the load balancer. See the package comment for its contract.
type Balancer struct {
	settings    Settings
	rng         *rand.Rand
	now         time.Duration
	actions     []Action
	servers     map[string]*server
	ready       []*server       // ready servers, in the order that all replicas share
	largestSize float64         // of a server in the subset
	meanSize    float64         // of the servers in the subset
	subsetIDs   map[string]bool // ids of the subset that Fleet set; nil means SubsetIndexes selects it
	subset      []*server       // ready servers that this replica prefers, in the same order
	requests    map[string]*request
	queue       []*request
	classes     map[string]*class
	tenants     tenants
	quotas      map[string]*quota // by tenant, for tenants with a quota
	quotaList   []*quota          // the same quotas in a fixed order, for iteration
	classList   []*class          // all classes in the order of the settings, and last the one for unknown names

	latencyVariance       float64 // variance of single answers' log latencies around their server's mean
	errorShare            float64 // share of failed attempts
	lastSuccess           time.Duration
	retryTokens           float64       // balance of the retry budget
	divisor               float64       // 1/divisor is this replica's share of the limits of all replicas together, see Fleet
	window                float64       // calls admitted at once, in tier 0; may be below 1
	callsPerServer        float64       // calls for each server that all replicas together always admit
	wholeList             bool          // the subset has all ready servers
	usableShare           float64       // share of the ready servers' capacity that may be used
	usableComputedAt      time.Duration // when usableShare and excessCalls were computed; negative means they are stale
	excessCalls           int           // calls at servers that are not ready, or beyond a ready server's share
	meanLatencyRatio      float64       // mean of latency/aim, at most 1 each
	pacingDebt            float64       // server time used beyond what the window allows, in ns
	meanLogRatio          float64       // mean of log(latency/aim)
	samples               float64       // number of answers in meanLatencyRatio and meanLogRatio
	baselineLogRatio      float64       // lowest meanLogRatio measured; it rises slowly
	newServerShare        float64       // share of the list that was added after baselineLogRatio was measured
	pacingDebtAt          time.Duration // when pacingDebt was computed
	inFlight              int           // calls
	abandonedShare        float64       // share of calls that timed out, or were canceled late
	abandonedCalls        float64       // abandoned calls on which servers may still work, as of abandonedAt
	abandonedTimeConstant float64       // time constant of their decay, in ns
	abandonedAt           time.Duration
	shedShare             float64 // share of requests answered without an attempt
	subscribeFailures     int
	lastDiscoveryUpdate   time.Duration // when the last update from discovery was received
	subscribeAt           time.Duration // when the next Subscribe is due; 0 means none is scheduled
}

// servedCounts are decaying counts of requests: all that arrived, and those that were served within the aim.
type servedCounts struct{ arrived, served float64 }

// servedCountsDecay is the factor on the counts with each request of any class: they cover about 100 requests.
const servedCountsDecay = 0.99

func (s *servedCounts) decay() {
	s.arrived *= servedCountsDecay
	s.served *= servedCountsDecay
}

// isWorseThan reports whether a smaller share of requests was served than in o. After hardly any arrivals it is false.
func (s servedCounts) isWorseThan(o servedCounts) bool {
	return s.arrived > 1 && s.served*o.arrived < o.served*s.arrived
}

// class is a class with its learned state.
type class struct {
	Class
	mean, deviation float64 // of the latency of successes, in ns
	cost            float64 // mean of the requests' cost hints, in ns; 0 means none yet
	servedCounts
	longestTimeout time.Duration // longest timeout that a client gave one try
}

// tenants are the tenants of recent requests, with decaying counts.
type tenants struct {
	byName       map[string]*tenant
	served       float64 // sum over all tenants
	scale        float64 // increment of a count; it grows with each request, which replaces the decay of all counts
	active       float64 // number of recently active tenants, as of the last recount
	untilRecount int     // requests until the next recount
}

// tenant has the decaying counts of one tenant, in units of tenants.scale.
type tenant struct{ requested, served float64 }

// quota is a tenant's quota as a token bucket, with counts of the requests within it.
type quota struct {
	total        float64 // requests a second, over all replicas
	rate         float64 // this replica's share of total
	burst        float64 // capacity of the bucket, in requests
	available    float64 // tokens, as of at
	at           time.Duration
	servedCounts // of requests within it
}

// setShare sets this replica's share to 1/divisor of the total. Tokens beyond the new burst are discarded.
func (q *quota) setShare(divisor float64) {
	q.rate = q.total / divisor
	q.burst = max(1, quotaBurstSeconds*q.rate)
	if math.IsInf(divisor, 1) { // this replica has no share
		q.burst = 0
	}
	q.available = min(q.available, q.burst)
}

// refill adds the tokens that have accrued since the last refill.
func (q *quota) refill(now time.Duration) {
	q.available = min(q.burst, q.available+q.rate*(now-q.at).Seconds())
	q.at = now
}

// server is a listed server, or one that has left the list while calls are in flight there.
type server struct {
	Server
	listed          bool
	inRightGroup    bool       // it belongs to the right of the two groups, see pickLessLoaded
	calls           int        // this replica's calls in flight
	waitingAttempts []*attempt // attempts that wait for an answer, the oldest first

	failureStreak  int // failed attempts in a row
	ejectionLevel  int // how often the next ejection's duration is doubled
	successStreak  int // successful attempts in a row
	ejectedUntil   time.Duration
	reportedUntil  time.Duration // excluded until then by peers' reports
	slowness       float64       // mean of log(latency/expected latency)
	samples        int
	lastSuccess    time.Duration
	acceptedAt     time.Duration // when the newest call was sent that the server is known to have accepted
	callLimit      int           // limit on calls until callLimitUntil: the number it had when it refused another
	refusedAt      time.Duration // when it last refused a call
	callLimitUntil time.Duration // end of callLimit
	refusals       int           // refusals in a row
}

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id          string
	class       *class
	tenant      *tenant         // nil means tenants are not distinguished
	quota       *quota          // nil means the tenant has none
	overQuota   bool            // it arrived when the quota was used up
	candidates  map[string]bool // ids of the servers that it may be sent to; nil means any
	places      []Place         // places that it may be sent to, in order of preference; nil means any
	arrived     time.Duration
	deadline    time.Duration
	cost        float64 // estimate of the work, in ns; 0 means unknown
	attempts    []*attempt
	inFlight    int
	clientRetry bool // the client has sent it before
	queued      bool
	answered    bool
	streaming   bool
	consumed    bool // part of its body was sent and was not buffered, so it can't be retried
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
	began     time.Duration // when its streamed answer began; 0 means not yet
	callEnded bool          // it no longer counts as a call
	ended     bool
	neverRan  bool // the server certainly did not run it
}

// latency is the time from sending the attempt until now, or until its answer began to stream.
func (a *attempt) latency(now time.Duration) time.Duration {
	if a.began > 0 {
		now = a.began
	}
	return now - a.sent
}

// initialErrorShare is the estimated error rate before any attempt has ended.
const initialErrorShare = 0.02

// New returns a Balancer without servers. An error names the invalid setting.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:         set,
		rng:              rand.New(rand.NewPCG(seed, 0x51a7e)),
		servers:          map[string]*server{},
		requests:         map[string]*request{},
		classes:          map[string]*class{},
		quotas:           map[string]*quota{},
		errorShare:       initialErrorShare,
		retryTokens:      maxRetryTokens / 2,
		divisor:          float64(max(1, set.Balancers)),
		callsPerServer:   minCallsPerServer,
		meanLatencyRatio: targetRatio / 2,
		baselineLogRatio: math.Log(targetRatio / 2),
		meanLogRatio:     math.Log(targetRatio / 2),
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

// handleClasses adds classes, or changes existing ones, which keep their learned state.
func (b *Balancer) handleClasses(changed []Class) {
	for _, c := range changed {
		if k := b.classes[c.Name]; k != nil && c.Name != "" {
			if k.Deadline != c.Deadline {
				k.longestTimeout = 0 // the clients' timeouts may have changed as well
			}
			k.Class = c
		} else if c.Name != "" {
			b.addClass(c)
			n := len(b.classList) // the class for unknown names stays the last
			b.classList[n-2], b.classList[n-1] = b.classList[n-1], b.classList[n-2]
		}
	}
}
