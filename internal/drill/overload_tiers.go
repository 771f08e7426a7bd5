package drill

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

const (
	upperHost      = "upper.example.org"
	lowerHost      = "lower.example.org"
	upperPrefix    = "up-" // of the names of streams to the upper tier
	serversPerTier = 4
	lowerSeedShift = 1000 // of the seed, for the upper tier's own callers
)

// tiers are two tiers of servers, of which the upper one calls the lower one.
type tiers struct {
	env           *environment
	upper, lower  *serverGroup
	triggerLength time.Duration

	mu           sync.Mutex    // guards lowerCallers
	lowerCallers *fake.Callers // by which the upper tier calls the lower one
}

// upperClasses are the classes of requests to the upper tier, with their shares of the rate.
var upperClasses = []struct {
	class fake.Class
	share float64
}{{testfleet.ReadClass, 0.6}, {testfleet.AlertClass, 0.25}, {testfleet.OrderClass, 0.15}}

// upperStreams returns streams of all classes to the upper tier, at a rate together.
func upperStreams(rate float64, duration time.Duration) (streams []fake.Stream) {
	for _, c := range upperClasses {
		streams = append(streams, fake.Stream{
			Name: upperPrefix + c.class.Name, Host: upperHost, Class: c.class, Rate: rate * c.share, Duration: duration,
			MaxOpen: 2000, BodyBytes: 100,
		})
	}
	return streams
}

// startTiers starts two tiers of servers that ignore disconnects. The names of their groups begin with a prefix.
func (env *environment) startTiers(prefix string) (*tiers, error) {
	t := &tiers{env: env}
	lower := fake.ServerConfig{
		Concurrency: 4, QueueLimit: 300, ServiceTime: 60 * time.Millisecond, QueueSlowdown: 0.02, SlowStart: testfleet.SlowStart, Zone: "a",
		IgnoreDisconnects: true,
	}
	upper := lower
	upper.Concurrency, upper.ServiceTime, upper.CallDownstream = 40, 20*time.Millisecond, t.callLower
	var err error
	if t.upper, err = env.startGroup(prefix+"upper", upperHost, slices.Repeat([]fake.ServerConfig{upper}, serversPerTier)...); err != nil {
		return nil, err
	}
	if t.lower, err = env.startGroup(prefix+"lower", lowerHost, slices.Repeat([]fake.ServerConfig{lower}, serversPerTier)...); err != nil {
		return nil, err
	}
	return t, nil
}

// callLowerThrough sets the address that the upper tier calls the lower one at. Call it before there is traffic.
func (t *tiers) callLowerThrough(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lowerCallers = fake.NewCallers(t.env.recorder, addr, t.env.seed+lowerSeedShift, answerGrace+t.env.slack)
}

// callLower is the call of an upper server to the lower tier, within the time that its request has left.
func (t *tiers) callLower(class string, left time.Duration) (succeeded bool) {
	t.mu.Lock()
	callers := t.lowerCallers
	t.mu.Unlock()
	if left <= 0 {
		return false
	}
	c := t.env.recorder.Classes[class]
	c.Deadline = left
	x := callers.Do(fake.Stream{Name: "down", Host: lowerHost, Class: c, BodyBytes: 100})
	return x.Status == http.StatusOK
}

// capacity is what the lower tier can handle, in requests a second.
func (t *tiers) capacity() float64 {
	c := t.lower.servers[0].Config()
	return float64(c.Concurrency) / c.ServiceTime.Seconds() * float64(len(t.lower.servers))
}

// wastedWork is the share of the servers' work that was for callers who had left.
func (t *tiers) wastedWork() float64 {
	var total, wasted time.Duration
	for _, s := range slices.Concat(t.upper.servers, t.lower.servers) {
		serverTotal, serverWasted := s.WorkDone()
		total += serverTotal
		wasted += serverWasted
	}
	return wasted.Seconds() / max(0.001, total.Seconds())
}
