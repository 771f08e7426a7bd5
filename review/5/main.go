// The script of case 5: a server leaves some seconds after its start, with its third heartbeat on its way. The sidecar beside it is killed after
// it has acknowledged that, and started again, and then the late heartbeat comes.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"cranegrade/review/stage"
)

const (
	host          = "ficu95.example"
	prefix        = "/pufi791/"
	budget        = 2500 * time.Millisecond
	work          = 290 * time.Millisecond
	pause         = 100 * time.Millisecond // the mean between two operations of a client
	triesOfClient = 3

	clientsBesideEach = 3

	before      = 3 * time.Second         // of traffic before the server starts
	thirdBeat   = 2800 * time.Millisecond // after the server's start: a bit less than twice HeartbeatS
	lateBeat    = 3 * time.Second         // "A beat may come seconds late."
	beatBefore  = 100 * time.Millisecond  // it was sent so long before the server deregisters
	killAfter   = 200 * time.Millisecond  // the acknowledgement
	restartWait = 500 * time.Millisecond
	servesOn    = 6 * time.Second // "a little longer (at times many seconds)" than DrainS
	drain       = 2 * time.Second // DrainS
	contact     = 3 * time.Second // ContactS
)

func main() { os.Exit(stage.Main(run)) }

// run plays the case and returns what broke the rule.
func run(trouble bool, mesh *stage.Mesh) (broken []string, err error) {
	var servers []*stage.Server
	for n, x := range mesh.Sidecars {
		server := stage.NewServer(x, fmt.Sprintf("i-%d", n+1))
		server.Work = work
		if n > 0 { // the first one starts later
			if err := server.Start(x.App()); err != nil {
				return nil, err
			}
		}
		servers = append(servers, server)
	}
	route := stage.Route{
		Name: "r-hh2b9wu", Host: host, Prefix: prefix, Kind: "keyed", Service: "dispatch", TargetS: 1, TimeoutS: 2.5, Attempts: 2, Version: 1,
		Priority: 1,
	}
	if err := mesh.Modify(stage.FirstCall([]string{"dispatch"}, route)); err != nil {
		return nil, err
	}
	if err := mesh.AwaitReady(); err != nil {
		return nil, err
	}
	first := &stage.Client{Record: mesh.Record, Outbound: mesh.Sidecars[1].Outbound(), Name: "client"}
	short := stage.Request{Method: "POST", Host: host, Path: prefix + "first", Key: stage.NewID(), Budget: budget}
	if err := stage.AwaitKnown(first, short); err != nil {
		return nil, err
	}
	clients := startClients(mesh)
	time.Sleep(before)
	acknowledged, inTouch, err := startAndLeave(trouble, mesh.Sidecars[0], servers[0])
	unanswered := clients()
	if err != nil {
		return nil, err
	}
	return judge(mesh.Record, servers[0].Instance, acknowledged, inTouch, unanswered), nil
}

// startAndLeave starts the server of a machine and has it leave, in trouble with a kill of the machine's sidecar. It returns when the server was
// acknowledged as gone, and from when on the machine has been in touch since.
func startAndLeave(trouble bool, x *stage.Machine, server *stage.Server) (acknowledged, inTouch time.Duration, err error) {
	record := x.Record()
	if err := server.Start(x.App()); err != nil {
		return 0, 0, err
	}
	time.Sleep(thirdBeat)
	go server.Beat(x.App(), lateBeat)
	time.Sleep(beatBefore)
	if !server.Leave() {
		return 0, 0, fmt.Errorf("%s does not acknowledge that %s leaves", x.Name, server.Instance)
	}
	acknowledged = record.Now()
	inTouch = acknowledged
	time.Sleep(killAfter)
	if trouble {
		x.Signal(syscall.SIGKILL)
		x.AwaitEnd()
		time.Sleep(restartWait)
		if err := x.Start(); err != nil {
			return 0, 0, err
		}
		inTouch = record.Now() + contact
	}
	time.Sleep(servesOn - (record.Now() - acknowledged))
	server.End()
	time.Sleep(budget)
	return acknowledged, inTouch, nil
}

// judge applies the rule DRAIN: no request that machines in touch passed on reaches the server later than DrainS after the acknowledgement.
func judge(record *stage.Record, instance string, acknowledged, inTouch time.Duration, unanswered map[string]bool) (broken []string) {
	late, lost := 0, 0
	for _, run := range record.Runs() {
		if run.Instance != instance || run.At <= max(acknowledged+drain, inTouch) {
			continue
		}
		late++
		if unanswered[run.Key] {
			lost++
		}
		if late == 1 {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reaches %s %.3f s after the acknowledgement that it is gone, by machines in touch",
				run.Attempt, instance, (run.At-acknowledged).Seconds()))
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d requests in all; %d of their keys have run there and never got an answer", late, lost))
	}
	return broken
}

// startClients starts clients beside each sidecar but the first. The function that it returns ends them and returns the keys that never got a
// success.
func startClients(mesh *stage.Mesh) (finish func() map[string]bool) {
	unanswered := map[string]bool{}
	var mu sync.Mutex
	stop := make(chan struct{})
	var all sync.WaitGroup
	for n := range clientsBesideEach * (len(mesh.Sidecars) - 1) {
		x := mesh.Sidecars[1+n%(len(mesh.Sidecars)-1)]
		client := &stage.Client{Record: mesh.Record, Outbound: x.Outbound(), Name: fmt.Sprintf("client-%d", n+1)}
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(2 * pause)):
				}
				if key, served := send(client); !served {
					mu.Lock()
					unanswered[key] = true
					mu.Unlock()
				}
			}
		})
	}
	return func() map[string]bool {
		close(stop)
		all.Wait()
		return unanswered
	}
}

// send sends one operation, and tries again with the same key as clients do.
func send(client *stage.Client) (key string, served bool) {
	request := stage.Request{Method: "POST", Host: host, Path: prefix + "2f", Key: stage.NewID(), Body: make([]byte, 1200), Budget: budget}
	for range triesOfClient {
		request.ID = stage.NewID()
		answer := client.Try(request)
		if answer.Status == http.StatusOK && answer.Whole {
			return request.Key, true
		}
		time.Sleep(stage.RetryAfter(answer))
	}
	return request.Key, false
}
