// Command 4 shows whether a node that gets SIGTERM gives clients that send a further request before the first gets an answer the whole
// answer to each request that a server has run. claim.txt has the rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/review/stand2"
)

const (
	folder      = "review/4"
	host        = "ficu95.example"
	entry       = "crew-log"      // the service on the machines of the clients
	called      = "cellar-ledger" // the service that they call
	nodes       = 3
	clients     = 4                      // connections of each kind of route at one node
	maxPause    = 120 * time.Millisecond // between the requests of a connection
	work        = 72 * time.Millisecond
	answerBytes = 90_000
	deadline    = 800 * time.Millisecond // of a client, and the route's TimeoutS
	delay       = 3 * time.Millisecond   // one way, to clients
	window      = 64 << 10
	calm        = 1200 * time.Millisecond // traffic before the SIGTERM
	grace       = stand2.GraceS * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record := stand2.NewRecord()
	var breaks, summary []string
	cluster, servers, err := start(record)
	defer func() { cluster.Close() }()
	for n := 0; n < nodes && err == nil; n++ {
		var found []string
		var text string
		found, text, err = stopUnderTraffic(cluster.Sidecars[n], servers, record)
		breaks, summary = append(breaks, found...), append(summary, text)
		if err == nil {
			err = cluster.AwaitReady()
		}
	}
	return record.Finish(folder, breaks, summary, err)
}

// start starts the mesh with three nodes for clients and three servers of the service that they call.
func start(record *stand2.Record) (*stand2.Cluster, []*stand2.Server, error) {
	cluster, err := stand2.NewCluster(entry, entry, entry, called, called, called)
	if err != nil {
		return cluster, nil, err
	}
	var servers []*stand2.Server
	for _, m := range cluster.Sidecars {
		server, err := stand2.StartServer(m, stand2.ServerConfig{Slots: 6, Queue: 24, Work: work, AnswerBytes: answerBytes}, record)
		if err != nil {
			return cluster, nil, err
		}
		servers = append(servers, server)
	}
	status, text, err := cluster.Modify(map[string]any{"Upsert": map[string]any{
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15, "ConfigVersion": 7},
		"ListenerList": []any{map[string]any{"HostName": host, "PolicyRules": []any{
			route("r-lookup", "idempotent", "/lookup/"), route("r-export", "download", "/export/"),
		}}},
		"UpstreamGroups": []any{service(entry), service(called)},
	}})
	if err != nil || status/100 != 2 {
		return cluster, servers, errors.Join(fmt.Errorf("the configuration is answered %d %s", status, text), err)
	}
	return cluster, servers, cluster.AwaitReady()
}

func route(name, kind, prefix string) map[string]any {
	return map[string]any{
		"Name": name, "RouteType": kind, "TargetLatencyS": 0.3, "Priority": 2, "ConfigVersion": 7,
		"MatchCriteria": map[string]any{"PathPrefix": prefix},
		"ForwardAction": map[string]any{"Service": called, "TimeoutS": deadline.Seconds(), "RetryCount": 2},
	}
}

func service(name string) map[string]any {
	return map[string]any{
		"Name": name, "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "TlsEnabled": false, "DedupEnabled": false,
		"ConfigVersion": 7,
	}
}

// stopUnderTraffic has clients use a node, stops it with SIGTERM, starts it again and returns what breaks the rule.
func stopUnderTraffic(m *stand2.Machine, servers []*stand2.Server, record *stand2.Record) (breaks []string, text string, err error) {
	link, err := stand2.NewLink(m.Addr(stand2.Outbound), delay, window)
	if err != nil {
		return nil, "", err
	}
	defer link.Close()
	var stop atomic.Bool
	var pipeliners []*stand2.Pipeliner
	var running sync.WaitGroup
	for n := range 2 * clients {
		p := &stand2.Pipeliner{
			Addr: link.Addr, Host: host, Path: "/lookup/2f", Budget: deadline, MaxPause: maxPause, Record: record, Stop: &stop,
		}
		kind := "lookup"
		if n%2 == 1 {
			p.Path, kind = "/export/2f", "export"
		}
		pipeliners = append(pipeliners, p)
		running.Go(func() { p.Run(fmt.Sprintf("%s-%s-%d", m.Name, kind, n)) })
	}
	time.Sleep(calm)
	var stoppedAt time.Time
	if stand2.HasTrouble() {
		go withdraw(m, &stop)
		record.Add("SIGTERM to %s", m.Name)
		stoppedAt = m.Terminate()
		record.Add("%s has ended", m.Name)
	} else {
		time.Sleep(2 * time.Second)
	}
	stop.Store(true)
	running.Wait()
	breaks, text = judge(m, pipeliners, servers, record, stoppedAt)
	if stand2.HasTrouble() {
		err = m.Start()
	}
	return breaks, text, err
}

// withdraw gives the clients at a node no new work after two misses, as the platform does.
func withdraw(m *stand2.Machine, stop *atomic.Bool) {
	for misses := 0; misses < 2; {
		time.Sleep(time.Second)
		if misses++; m.IsReady() {
			misses = 0
		}
	}
	stop.Store(true)
}

// judge returns the requests that were lost: a server has run them and has answered whole, and their connection ended without a
// complete answer, before their deadline.
func judge(
	m *stand2.Machine, pipeliners []*stand2.Pipeliner, servers []*stand2.Server, record *stand2.Record, stoppedAt time.Time,
) (breaks []string, text string) {
	counts := map[string]int{}
	for _, p := range pipeliners {
		for _, s := range p.Sent() {
			counts["sent"]++
			switch {
			case s.Foreign != "":
				breaks = append(breaks, fmt.Sprintf("MIXED: %s has an answer with %s", s.ID, s.Foreign))
			case s.Status != 0:
				counts[fmt.Sprint(s.Status)]++
			case s.Err == nil:
				counts["behind an answer that ended the connection"]++
			default:
				if lost := describeLoss(s, servers, record, stoppedAt); lost != "" {
					breaks = append(breaks, lost)
				}
				counts["connection ended"]++
			}
		}
	}
	return breaks, fmt.Sprintf("%s, SIGTERM at %s: %v, broken: %d", m.Name, record.At(stoppedAt), counts, len(breaks))
}

// describeLoss describes a request without an answer if it is lost by the rule, and otherwise returns "".
func describeLoss(s *stand2.Sent, servers []*stand2.Server, record *stand2.Record, stoppedAt time.Time) string {
	if s.Ended.Sub(s.At) >= deadline {
		return ""
	}
	if !stoppedAt.IsZero() && (s.Ended.Before(stoppedAt) || s.Ended.After(stoppedAt.Add(grace+time.Second))) {
		return "" // not around planned work
	}
	for _, server := range servers {
		run, ran := server.Run(s.ID)
		if !ran || run.Answered.IsZero() || run.Answered.After(s.Ended) {
			continue
		}
		return fmt.Sprintf("LOST: %s, sent at %s, run by a server at %s and answered whole at %s; its connection ended at %s with %d of %d bytes: %v",
			s.ID, record.At(s.At), record.At(run.Began), record.At(run.Answered), record.At(s.Ended), s.Received, s.Size, s.Err)
	}
	return ""
}
