package fleet

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"cranegrade/balancer"
)

// BenchmarkDecision is a request, its attempt and the attempt's end, through the module alone and through the one in front
// of it, with the same servers to draw from: 60 servers, 50 members.
func BenchmarkDecision(b *testing.B) {
	class := balancer.Class{Name: "read", Effect: balancer.Idempotent, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1}
	set := balancer.Settings{Classes: []balancer.Class{class}, MaxAttempts: 3, Balancers: 50, Index: 7, Tick: time.Millisecond}
	list := balancer.ServerList{Full: true}
	for i := range 60 {
		list.Servers = append(list.Servers, balancer.Server{ID: fmt.Sprintf("s-%02d", i), State: balancer.Ready, Size: 1})
	}
	for _, name := range []string{"alone", "fleet"} {
		b.Run(name, func(b *testing.B) {
			in, err := balancer.New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			f := newTogether(50)
			m := NewModule(in, f.gates[7], f.names[7], set, BootTime)
			m.Handle(0, list)
			m.Handle(time.Second, list) // it has its place and its subset
			var d Decider = in
			if name == "fleet" {
				d = m
			}
			now, n := time.Second, 0
			for b.Loop() {
				n++
				now += 20 * time.Millisecond
				id := strconv.Itoa(n)
				for _, a := range d.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + 2*time.Second}) {
					if s, is := a.(balancer.Send); is {
						d.Handle(now+5*time.Millisecond, balancer.Outcome{ID: id, Server: s.Server, Ending: balancer.Success, Ended: true})
					}
				}
			}
		})
	}
}

// BenchmarkSharing is what a change of the members or the list costs one node, aside from its engine where it is large.
func BenchmarkSharing(b *testing.B) {
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
