// The script of case 1: a valid change of the configuration adds a service and a route that is split into two parts, both of them to that
// service.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/review/stage"
)

const (
	host        = "ficu95.example"
	prefix      = "/lohu930/"
	budget      = 2 * time.Second
	before      = 5 * time.Second  // of traffic before the change
	after       = 15 * time.Second // RecoveryS
	restartWait = 500 * time.Millisecond
	pause       = 100 * time.Millisecond
	// maxOwnEnds is how often the processes of a machine may end by themselves, and minMachines on how many machines it has to happen, for
	// the rule to be broken.
	maxOwnEnds  = 3
	minMachines = 2
)

func main() { os.Exit(stage.Main(run)) }

// run plays the case and returns what broke the rule.
func run(trouble bool, mesh *stage.Mesh) (broken []string, err error) {
	for n, x := range mesh.Sidecars {
		if err := stage.NewServer(x, fmt.Sprintf("i-%d", n+1)).Start(x.App()); err != nil {
			return nil, err
		}
	}
	read := stage.Route{
		Name: "r-zji9n73", Host: host, Prefix: prefix, Kind: "idempotent", Service: "dispatch", TargetS: 0.8, TimeoutS: 2, Attempts: 2,
		Version: 7, Priority: 2,
	}
	if err := mesh.Modify(stage.FirstCall([]string{"dispatch", "devicebook"}, read)); err != nil {
		return nil, err
	}
	if err := mesh.AwaitReady(); err != nil {
		return nil, err
	}
	first := &stage.Client{Record: mesh.Record, Outbound: mesh.Sidecars[0].Outbound(), Name: "client"}
	if err := stage.AwaitKnown(first, stage.Request{Method: "GET", Host: host, Path: prefix + "first", Budget: budget}); err != nil {
		return nil, err
	}
	platform := restartEnded(mesh)
	served := make([]atomic.Int64, 2) // before and after the change
	var phase atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c, x := range mesh.Sidecars {
		client := &stage.Client{Record: mesh.Record, Outbound: x.Outbound(), Name: fmt.Sprintf("client-%d", c+1)}
		clients.Go(func() { readOn(client, served, &phase, stop) })
	}
	time.Sleep(before)
	err = mesh.Modify(change(trouble))
	phase.Store(1)
	if err == nil {
		time.Sleep(after)
	}
	close(stop)
	clients.Wait()
	ends := platform()
	mesh.Record.Note("script", "requests served: %d before the change, %d after it; own ends by machine: %v", served[0].Load(), served[1].Load(), ends)
	return judge(ends, served[1].Load()), err
}

// judge applies the rule Fault.
func judge(ends map[string]int, servedAfter int64) (broken []string) {
	machines := 0
	for _, n := range ends {
		if n >= maxOwnEnds {
			machines++
		}
	}
	if machines >= minMachines {
		broken = append(broken, fmt.Sprintf("Fault: on %d machines processes ended by themselves %d times or more, with no trouble there",
			machines, maxOwnEnds))
	}
	if servedAfter == 0 {
		broken = append(broken, "no request is served after the change")
	}
	return broken
}

// readOn sends one request after the other until stop.
func readOn(client *stage.Client, served []atomic.Int64, phase *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		now := phase.Load()
		answer := client.Try(stage.Request{Method: "GET", Host: host, Path: prefix + "2f", ID: stage.NewID(), Budget: budget})
		if answer.Status == http.StatusOK && answer.Whole && now == phase.Load() {
			served[now].Add(1)
		}
	}
}

// change adds a service and a route that is split, in trouble twice to that service, else to both services.
func change(trouble bool) map[string]any {
	const service = "wuno96b"
	second := "devicebook"
	if trouble {
		second = service
	}
	rule := map[string]any{
		"Name": "r-hh2b9wu", "RouteType": "idempotent", "TargetLatencyS": 0.3, "Priority": 2, "ConfigVersion": 9,
		"MatchCriteria": map[string]any{"PathPrefix": "/pufi791/"},
		"ForwardAction": map[string]any{
			"TrafficSplit": []any{map[string]any{"Service": service, "Weight": 90}, map[string]any{"Service": second, "Weight": 10}},
			"TimeoutS":     0.8, "RetryCount": 2,
		},
	}
	return map[string]any{"Upsert": map[string]any{
		"ListenerList":   []any{map[string]any{"HostName": host, "PolicyRules": []any{rule}}},
		"UpstreamGroups": []any{stage.Service(service, 9)},
	}}
}

// restartEnded starts sidecars that have ended by themselves, as the platform does, until the function that it returns is called. That
// returns how often they have ended.
func restartEnded(mesh *stage.Mesh) (finish func() map[string]int) {
	ends := map[string]int{}
	var mu sync.Mutex
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for _, x := range mesh.Sidecars {
		watchers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-x.Ended():
				}
				mu.Lock()
				ends[x.Name]++
				mu.Unlock()
				time.Sleep(restartWait)
				if err := x.Start(); err != nil {
					mesh.Record.Note("platform", "can't start %s: %v", x.Name, err)
					return
				}
			}
		})
	}
	return func() map[string]int {
		close(stop)
		watchers.Wait()
		return ends
	}
}
