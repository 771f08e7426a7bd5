package engine

import (
	"context"
	"testing"
	"time"

	"cranegrade/balancer"
)

// instantSender answers at once.
type instantSender struct{ r reply }

func (s *instantSender) Start(_ context.Context, a *Attempt) { go a.End(balancer.Success, &s.r) }
func (s *instantSender) Drop(*Endpoint)                      {}
func (s *instantSender) Sweep()                              {}

type signal chan struct{}

func (s signal) Began(Reply)  {}
func (s signal) Ended(Answer) { s <- struct{}{} }

// BenchmarkEngine measures calls through one engine whose sender answers at once.
func BenchmarkEngine(b *testing.B) {
	e := startEngine(b, Config{Sender: &instantSender{}})
	e.Start(serverList("a", "b", "c", "d", "e", "f", "g", "h", "i", "j"))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		done := make(signal, 1)
		for pb.Next() {
			now := e.Now()
			e.Submit(&Call{Class: "read", Deadline: now + time.Second, Last: now + 2*time.Second, To: done})
			<-done
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}
