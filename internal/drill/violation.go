package drill

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

// minViolationTime is how long a drill runs at the least when a breach is planted.
const minViolationTime = 4 * time.Second

// violations commit a breach of each rule on the path between the program and what stands outside. A drill
// that does not find it is at fault.
var violations = map[string]func(context.Context, *environment) error{
	"lost": violateLost, "twice": violateTwice, "drain": violateDrain, "cold": violateCold, "ban": violateBan,
	"seen": mutationOnly, "stalled": mutationOnly, "gullible": mutationOnly,
}

func violationNames() (l []string) {
	for name := range violations {
		l = append(l, name)
	}
	sort.Strings(l)
	return l
}

// violateLost loses an answer on its way to the caller. A caller whose kept connection ends so takes it
// for a crossed close and sends the request once more, as the protocol has it; that the first had
// reached a server gives it away. Two in a row are lost in any case.
func violateLost(ctx context.Context, r *environment) error {
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	if len(r.proxies) > 0 {
		r.proxies[0].DropResponses(3)
	} else {
		r.relay.DropResponses(3)
	}
	return nil
}

// awaitServed waits for a request of a class that was served, and says at which server and host.
func (r *environment) awaitServed(classes ...fake.Class) (x fake.Exchange, a fake.Arrival, c fake.Class, err error) {
	if !testfleet.Await(minViolationTime+r.slack, func() bool {
		v := r.records.History()
		ends := map[string]fake.Exchange{}
		for _, x := range v.Exchanges {
			if x.Status == 200 {
				ends[x.ID] = x
			}
		}
		for _, arrival := range v.Arrivals {
			for _, class := range classes {
				if end, is := ends[arrival.ID]; is && arrival.Class == class.Name && arrival.Ran {
					x, a, c = end, arrival, class
					return true
				}
			}
		}
		return false
	}) {
		err = errors.New("no request was served to do it with")
	}
	return x, a, c, err
}

// groupOf is the group whose host a request named.
func (r *environment) groupOf(host string) *serverGroup {
	for _, g := range r.groups {
		if g.host == host {
			return g
		}
	}
	for _, g := range r.groups {
		if g.host == "" { // its list counts for every other host
			return g
		}
	}
	return r.groups[0]
}

// violateTwice sends an unsafe request that has run to a server once more.
func violateTwice(_ context.Context, r *environment) error {
	x, a, c, err := r.awaitServed(orderClass)
	if err != nil {
		return err
	}
	servers := r.groupOf(a.Host).servers
	for _, s := range servers {
		if s.ID() != a.Server {
			return fake.SendStrayRequest(s, x, a.Host, c)
		}
	}
	return fake.SendStrayRequest(servers[0], x, a.Host, c)
}

// awaitListed waits until the node has been told of a server's state.
func (r *environment) awaitListed(server string, gone bool, boot int) error {
	if !testfleet.Await(minViolationTime+r.slack, func() bool {
		l := r.records.History().Updates
		for i := len(l) - 1; i >= 0; i-- {
			if l[i].Server == server {
				return l[i].Withdrawn == gone && l[i].Incarnation == boot
			}
		}
		return false
	}) {
		return errors.New("the list was not told")
	}
	return nil
}

// violateDrain has a server drain and sends to it long after the node was told.
func violateDrain(ctx context.Context, r *environment) error {
	x, a, c, err := r.awaitServed(readClass)
	if err != nil {
		return err
	}
	g := r.groupOf(a.Host)
	s := g.servers[len(g.servers)-1]
	g.list(s, "DRAINING")
	boot, _ := s.Incarnation()
	if err := r.awaitListed(s.ID(), true, boot); err != nil {
		return err
	}
	select {
	case <-time.After(time.Second + r.slack):
	case <-ctx.Done():
	}
	before := r.arrivalsAt(s, x.ID)
	if err := fake.SendStrayRequest(s, x, a.Host, c); err != nil {
		return err
	}
	arrived := testfleet.Await(minViolationTime+r.slack, func() bool { return r.arrivalsAt(s, x.ID) > before })
	g.list(s, "SERVING")
	if !arrived {
		return fmt.Errorf("the request sent to %s did not arrive", s.ID())
	}
	return nil
}

// arrivalsAt counts the arrivals of a request at a server.
func (r *environment) arrivalsAt(s *fake.Server, requestID string) (n int) {
	for _, arrival := range r.records.History().Arrivals {
		if arrival.Server == s.ID() && arrival.ID == requestID {
			n++
		}
	}
	return n
}

const (
	// overloadAttempts is how often violateCold restarts a server and overloads it at the most. On a busy machine the server
	// may have warmed up before its restart is listed, or before the requests arrive.
	overloadAttempts = 5
	// overloadedServerDivisor is by how much the restarted server is weaker than the others, so that a busy machine can
	// send more than it takes in the short time for which it warms up.
	overloadedServerDivisor = 20
)

// violateCold restarts a server and sends it far more than it can take while it warms up, until it has fallen over.
func violateCold(_ context.Context, r *environment) error {
	x, a, c, err := r.awaitServed(readClass)
	if err != nil {
		return err
	}
	g := r.groupOf(a.Host)
	s := g.servers[len(g.servers)-1]
	s.Weaken(overloadedServerDivisor)
	for range overloadAttempts {
		if err := r.restartListed(g, s); err != nil {
			return err
		}
		overloadServer(s, x, a.Host, c)
		if testfleet.Await(cold.OverloadWindow, func() bool { return r.hasFallen(s) }) {
			return nil
		}
	}
	return fmt.Errorf("server %s was not overloaded in %d attempts", s.ID(), overloadAttempts)
}

// restartListed crashes a server, starts it again, and waits until the node has been told of the restart.
func (r *environment) restartListed(g *serverGroup, s *fake.Server) error {
	s.Crash()
	if err := s.Restart(); err != nil {
		return err
	}
	g.list(s, "SERVING")
	boot, _ := s.Incarnation()
	return r.awaitListed(s.ID(), false, boot)
}

// overloadServer sends a server, over many connections at once, more requests than even a warm one takes.
func overloadServer(s *fake.Server, x fake.Exchange, host string, c fake.Class) {
	const connections = 64
	cfg := s.Config()
	limit := cold.OverloadFactor * cold.OverloadWindow.Seconds() * float64(cfg.Concurrency) / cfg.ServiceTime.Seconds()
	var all sync.WaitGroup
	for range connections {
		all.Go(func() {
			// An error means that the server has fallen over, which the caller looks for.
			_ = fake.SendStrayRequests(s, x, host, c, int(limit)/connections+1)
		})
	}
	all.Wait()
}

// hasFallen reports whether the present incarnation of a server was overloaded while it warmed up.
func (r *environment) hasFallen(s *fake.Server) bool {
	incarnation, _ := s.Incarnation()
	return slices.ContainsFunc(r.records.History().WarmupCrashes, func(crash fake.WarmupCrash) bool {
		return crash.Server == s.ID() && crash.Incarnation == incarnation
	})
}

// violateBan sends to a server that the drill has taken out, as a node that forgot the ban would.
func violateBan(ctx context.Context, r *environment) error {
	x, a, c, err := r.awaitServed(readClass)
	if err != nil {
		return err
	}
	if !testfleet.Await(minViolationTime+r.slack, func() bool { return r.isOut("") != "" }) {
		return errors.New("this drill takes no server out by hand")
	}
	select {
	case <-time.After(time.Second + r.slack):
	case <-ctx.Done():
	}
	for _, s := range r.groupOf(a.Host).servers {
		if r.isOut(s.ID()) != "" {
			return fake.SendStrayRequest(s, x, a.Host, c)
		}
	}
	return errors.New("no server is out any more")
}
