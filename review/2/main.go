// The script of case 2: servers answer long keyed requests before they have read all of the body, as the pages allow, and break off a few of
// these answers.
package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/review/stage"
)

const (
	host          = "ficu95.example"
	prefix        = "/pufi791/"
	bodyBytes     = 1 << 20   // MaxBodyBytes is 64 MiB
	earlyBytes    = 128 << 10 // of the body are read before the answer
	answerBytes   = 5000
	keys          = 150
	brokenOneIn   = 50              // of the answers of the servers in trouble: the dose x = 0.02
	troubleFor    = 5 * time.Second // for_s is 5.0 to 6.1 at this site
	callers       = 3
	budget        = 2500 * time.Millisecond
	triesOfClient = 3
	keyWindow     = 60 * time.Second
)

func main() { os.Exit(stage.Main(run)) }

// run plays the case and returns what broke the rule.
func run(trouble bool, mesh *stage.Mesh) (broken []string, err error) {
	var answers, troubleEnds atomic.Int64
	for n, x := range mesh.Sidecars {
		server := stage.NewServer(x, fmt.Sprintf("i-%d", n+1))
		server.Run = func(exchange *stage.Exchange) bool {
			inTrouble := trouble && n%2 == 0 && int64(mesh.Record.Now()) < troubleEnds.Load()
			return answerEarly(exchange, inTrouble, &answers)
		}
		if err := server.Start(x.App()); err != nil {
			return nil, err
		}
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
	first := &stage.Client{Record: mesh.Record, Outbound: mesh.Sidecars[0].Outbound(), Name: "client"}
	short := stage.Request{Method: "POST", Host: host, Path: prefix + "first", Key: stage.NewID(), Budget: budget}
	if err := stage.AwaitKnown(first, short); err != nil {
		return nil, err
	}
	time.Sleep(2 * stage.HeartbeatInterval)
	troubleEnds.Store(int64(mesh.Record.Now() + troubleFor))
	var work sync.WaitGroup
	for c := range callers {
		work.Go(func() {
			client := &stage.Client{Record: mesh.Record, Outbound: mesh.Sidecars[c].Outbound(), Name: fmt.Sprintf("client-%d", c+1)}
			for range keys / callers {
				send(client)
			}
		})
	}
	work.Wait()
	return stage.Twice(mesh.Record, keyWindow), nil
}

// send sends one operation, and tries again with the same key as clients do: after any failure, on a new connection, heeding Retry-After.
func send(client *stage.Client) {
	request := stage.Request{Method: "POST", Host: host, Path: prefix + "2f", Key: stage.NewID(), Body: make([]byte, bodyBytes), Budget: budget}
	for range triesOfClient {
		request.ID = stage.NewID()
		answer := client.Try(request)
		if answer.Status/100 == 2 && answer.Whole {
			return
		}
		time.Sleep(stage.RetryAfter(answer))
	}
}

// answerEarly begins work once a part of a long body has come, and answers before the rest. In trouble it breaks off one answer in
// brokenOneIn, after its head and the first bytes of its body.
func answerEarly(x *stage.Exchange, trouble bool, answers *atomic.Int64) (keep bool) {
	if x.Request.ContentLength <= earlyBytes {
		return x.RunWhole()
	}
	if _, err := io.CopyN(io.Discard, x.Request.Body, earlyBytes); err != nil {
		return false
	}
	x.Begin()
	body := make([]byte, answerBytes)
	if trouble && answers.Add(1)%brokenOneIn == 0 {
		x.Note("breaks off its answer to %s, a 200 with the stamp", x.Attempt)
		_, _ = x.Conn.Write(append([]byte(x.Head(answerBytes)), body[:answerBytes/5]...)) // the connection ends in any case
		time.Sleep(100 * time.Millisecond)
		return false
	}
	if x.Answer(body) != nil {
		return false
	}
	_, err := io.Copy(io.Discard, x.Request.Body) // reads on later
	return err == nil
}
