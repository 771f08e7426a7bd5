package engine

import (
	"context"
	"testing"
	"time"

	"cranegrade/balancer"
)

// instantSender is a Sender whose attempts succeed immediately.
type instantSender struct{ reply reply }

func (s *instantSender) Start(_ context.Context, a *Attempt) { go a.End(balancer.Success, &s.reply) }
func (s *instantSender) Drop(*Endpoint)                      {}
func (s *instantSender) Sweep()                              {}

// endSignal is a Receiver that signals the end of a call.
type endSignal chan struct{}

func (s endSignal) ResponseStarted(Reply) {}
func (s endSignal) Ended(Answer)          { s <- struct{}{} }

// BenchmarkEngine measures the throughput of calls through one engine with a sender that does no work.
func BenchmarkEngine(b *testing.B) {
	e := startEngine(b, Config{Sender: &instantSender{}})
	e.Start(serverList("a", "b", "c", "d", "e", "f", "g", "h", "i", "j"))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		ended := make(endSignal, 1)
		for pb.Next() {
			now := e.Now()
			e.Submit(&Call{
				Class:      "read",
				Deadline:   now + time.Second,
				FallbackAt: now + 2*time.Second,
				Receiver:   ended,
			})
			<-ended
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}
