package fleet

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"cranegrade/balancer"
)

// BenchmarkDecision measures a request, its attempt and the attempt's end in a fleet of 50 nodes and 60 servers: through the decision
// module alone, and through the Module in front of it.
func BenchmarkDecision(b *testing.B) {
	class := balancer.Class{
		Name: "read", Effect: balancer.Idempotent, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1,
	}
	settings := balancer.Settings{Classes: []balancer.Class{class}, MaxAttempts: 3, Balancers: 50, Index: 7, Tick: time.Millisecond}
	list := balancer.ServerList{Full: true}
	for i := range 60 {
		list.Servers = append(list.Servers, balancer.Server{ID: fmt.Sprintf("s-%02d", i), State: balancer.Ready, Size: 1})
	}
	for _, name := range []string{"alone", "fleet"} {
		b.Run(name, func(b *testing.B) {
			policy, err := balancer.New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			f := newEmulatedFleet(50)
			m := NewModule(policy, f.pools[7], f.names[7], settings, BootTime)
			m.Handle(0, list)
			m.Handle(time.Second, list) // now it has its position and its subset
			var decider Decider = policy
			if name == "fleet" {
				decider = m
			}
			now, n := time.Second, 0
			for b.Loop() {
				n++
				now += 20 * time.Millisecond
				id := strconv.Itoa(n)
				for _, action := range decider.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + 2*time.Second}) {
					if send, ok := action.(balancer.Send); ok {
						outcome := balancer.Outcome{ID: id, Server: send.Server, Ending: balancer.Success, Ended: true}
						decider.Handle(now+5*time.Millisecond, outcome)
					}
				}
			}
		})
	}
}

// BenchmarkAssign measures what a change of the members or of the list costs one node. A large assignment does not run on the engine's
// goroutine.
func BenchmarkAssign(b *testing.B) {
	for _, size := range [][2]int{{50, 60}, {1000, 10_000}} {
		var members []string
		for i := range size[0] {
			members = append(members, fmt.Sprintf("n%04d", i))
		}
		var servers []balancer.Server
		for i := range size[1] {
			servers = append(servers, balancer.Server{ID: fmt.Sprintf("s-%05d", i), State: balancer.Ready})
		}
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				assign(members, 3, servers, false)
			}
		})
	}
}
