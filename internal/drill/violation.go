package drill

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

const (
	// minViolationTime is how long a drill runs at least when it commits a violation.
	minViolationTime = 4 * time.Second
	// overloadAttempts is how often violateCold restarts a server and overloads it at most. On a busy machine the server may have warmed up
	// before its restart is listed, or before the requests arrive.
	overloadAttempts = 5
	// overloadedServerDivisor is by how much the restarted server is weaker than the others, so that a busy machine can send more than it
	// takes in the short time for which it warms up.
	overloadedServerDivisor = 20
	// overloadConnections carry the requests that overload a server.
	overloadConnections = 64
	// listGrace is how long after an update of a list a server may still be sent to.
	listGrace = time.Second
	// lostResponses are enough to make a violation certain: a caller whose kept connection ends without a response resends the request once.
	lostResponses = 3
	// lossAttempts is how often violateLost drops responses at most.
	lossAttempts = 3
)

// violationLost needs a relay between the callers and the program.
const violationLost = "lost"

// violations commit a violation of a rule on the path between the program and the outside, by the name that the command line gives. A drill
// that does not find it is at fault.
var violations = map[string]func(context.Context, *environment) error{
	violationLost: violateLost, "twice": violateTwice, "drain": violateDrain, "cold": violateCold, "ban": violateBan,
	"seen": mutationOnly, "stalled": mutationOnly, "gullible": mutationOnly,
}

func violationNames() []string { return slices.Sorted(maps.Keys(violations)) }

// violateLost loses responses on their way to the caller. A caller whose kept connection ends without a response takes that for a
// connection that had been closed before, and resends the request once, as the protocol says; that the first one had reached a server
// gives the violation away. If the second response is lost, too, the request fails in any case.
//
// Over HTTP/2 what the relay drops may be a frame that is no response, such as the SETTINGS of a new connection, so this is repeated
// until a caller has missed a response.
func violateLost(ctx context.Context, env *environment) error {
	pause(ctx, time.Second)
	for range lossAttempts {
		if len(env.proxies) > 0 {
			env.proxies[0].DropResponses(lostResponses)
		} else {
			env.relay.DropResponses(lostResponses)
		}
		if testfleet.Await(time.Second+env.slack, env.hasLostResponse) {
			return nil
		}
	}
	return fmt.Errorf("no caller missed a response in %d attempts", lossAttempts)
}

// hasLostResponse reports whether a caller got no response over an established connection, or had to resend its request.
func (env *environment) hasLostResponse() bool {
	return slices.ContainsFunc(env.recorder.History().Exchanges, func(e fake.Exchange) bool {
		return e.Connected && (e.Status == 0 || e.Resent)
	})
}

// servedRequest is a request that a server ran and whose caller got the response.
type servedRequest struct {
	exchange fake.Exchange
	arrival  fake.Arrival
	class    fake.Class
}

// sendAgain sends the request once more, to a server of choice, as a node that violates a rule would.
func (r servedRequest) sendAgain(s *fake.Server) error {
	return fake.SendStrayRequest(s, r.exchange, r.arrival.Host, r.class)
}

// sendMany sends the request to a server over many connections at once. An error means that the server has crashed, which the caller looks
// for.
func (r servedRequest) sendMany(s *fake.Server, count int) {
	var sending sync.WaitGroup
	for range overloadConnections {
		sending.Go(func() {
			_ = fake.SendStrayRequests(s, r.exchange, r.arrival.Host, r.class, count/overloadConnections+1)
		})
	}
	sending.Wait()
}

// precondition waits until what a violation needs has come about; on a slow machine for longer.
func (env *environment) precondition(holds func() bool) bool {
	return testfleet.Await(minViolationTime+env.slack, holds)
}

// awaitServed waits for a request of a class that was served.
func (env *environment) awaitServed(class fake.Class) (r servedRequest, err error) {
	if !env.precondition(func() bool {
		var found bool
		r, found = findServed(env.recorder.History(), class)
		return found
	}) {
		err = errors.New("no request was served to do it with")
	}
	return r, err
}

// findServed finds the first request of a class that was served.
func findServed(h fake.History, class fake.Class) (r servedRequest, found bool) {
	served := map[string]fake.Exchange{}
	for _, x := range h.Exchanges {
		if x.Status == http.StatusOK {
			served[x.ID] = x
		}
	}
	for _, a := range h.Arrivals {
		if x, ok := served[a.ID]; ok && a.Class == class.Name && a.Ran {
			return servedRequest{exchange: x, arrival: a, class: class}, true
		}
	}
	return servedRequest{}, false
}

// groupServing is the group whose host a request named.
func (env *environment) groupServing(host string) *serverGroup {
	for _, g := range env.groups {
		if g.host == host {
			return g
		}
	}
	for _, g := range env.groups {
		if g.host == "" { // its list counts for every other host
			return g
		}
	}
	return env.groups[0]
}

// violateTwice sends an unsafe request that has run to a server once more.
func violateTwice(_ context.Context, env *environment) error {
	r, err := env.awaitServed(testfleet.OrderClass)
	if err != nil {
		return err
	}
	servers := env.groupServing(r.arrival.Host).servers
	for _, s := range servers {
		if s.ID() != r.arrival.Server {
			return r.sendAgain(s)
		}
	}
	return r.sendAgain(servers[0])
}

// awaitListed waits until the program was sent a server's state.
func (env *environment) awaitListed(server string, withdrawn bool, incarnation int) error {
	if !env.precondition(func() bool {
		for _, u := range slices.Backward(env.recorder.History().Updates) {
			if u.Server == server {
				return u.Withdrawn == withdrawn && u.Incarnation == incarnation
			}
		}
		return false
	}) {
		return errors.New("the program was not sent the list")
	}
	return nil
}

// violateDrain has a server drain, and sends to it long after the program was told.
func violateDrain(ctx context.Context, env *environment) error {
	r, err := env.awaitServed(testfleet.ReadClass)
	if err != nil {
		return err
	}
	g := env.groupServing(r.arrival.Host)
	s := g.servers[len(g.servers)-1]
	g.setState(s, fake.ListDraining)
	incarnation, _ := s.Incarnation()
	if err := env.awaitListed(s.ID(), true, incarnation); err != nil {
		return err
	}
	pause(ctx, listGrace+env.slack)
	before := env.arrivalsAt(s, r.exchange.ID)
	if err := r.sendAgain(s); err != nil {
		return err
	}
	arrived := env.precondition(func() bool { return env.arrivalsAt(s, r.exchange.ID) > before })
	g.setState(s, fake.ListServing)
	if !arrived {
		return fmt.Errorf("the request sent to %s did not arrive", s.ID())
	}
	return nil
}

// arrivalsAt counts the arrivals of a request at a server.
func (env *environment) arrivalsAt(s *fake.Server, requestID string) (count int) {
	for _, a := range env.recorder.History().Arrivals {
		if a.Server == s.ID() && a.ID == requestID {
			count++
		}
	}
	return count
}

// violateCold restarts a server and sends it far more than it can take while it warms up, until it has crashed because of that.
func violateCold(_ context.Context, env *environment) error {
	r, err := env.awaitServed(testfleet.ReadClass)
	if err != nil {
		return err
	}
	g := env.groupServing(r.arrival.Host)
	s := g.servers[len(g.servers)-1]
	s.Weaken(overloadedServerDivisor)
	slowStart := testfleet.SlowStart
	// More than even a warm server takes.
	tooMany := slowStart.OverloadFactor * slowStart.OverloadWindow.Seconds() * float64(s.Config().Concurrency) / s.Config().ServiceTime.Seconds()
	for range overloadAttempts {
		if err := env.restartListed(g, s); err != nil {
			return err
		}
		r.sendMany(s, int(tooMany))
		if testfleet.Await(slowStart.OverloadWindow, func() bool { return env.hasCrashedInWarmup(s) }) {
			return nil
		}
	}
	return fmt.Errorf("server %s was not overloaded in %d attempts", s.ID(), overloadAttempts)
}

// restartListed crashes a server, starts it again, and waits until the program was sent the new incarnation.
func (env *environment) restartListed(g *serverGroup, s *fake.Server) error {
	s.Crash()
	if err := s.Restart(); err != nil {
		return err
	}
	g.setState(s, fake.ListServing)
	incarnation, _ := s.Incarnation()
	return env.awaitListed(s.ID(), false, incarnation)
}

// hasCrashedInWarmup reports whether the present incarnation of a server was overloaded while it warmed up.
func (env *environment) hasCrashedInWarmup(s *fake.Server) bool {
	incarnation, _ := s.Incarnation()
	return slices.ContainsFunc(env.recorder.History().WarmupCrashes, func(c fake.WarmupCrash) bool {
		return c.Server == s.ID() && c.Incarnation == incarnation
	})
}

// violateBan sends to a server that operators have taken out, as a node that forgot that would.
func violateBan(ctx context.Context, env *environment) error {
	r, err := env.awaitServed(testfleet.ReadClass)
	if err != nil {
		return err
	}
	if !env.precondition(env.operations.anyDown) {
		return errors.New("this drill takes no server out by hand")
	}
	pause(ctx, listGrace+env.slack)
	for _, s := range env.groupServing(r.arrival.Host).servers {
		if env.operations.isDown(s.ID()) {
			return r.sendAgain(s)
		}
	}
	return errors.New("no server is out any more")
}
