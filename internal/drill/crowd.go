package drill

import (
	"context"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/fake/proxy"
)

// extprocCrowd has 2,000 questions come at once to a processor that has just started, for 200 idle servers
// that its file says take twelve calls each: hardly any may be refused.
func extprocCrowd(ctx context.Context, r *environment) error {
	const host = "crowd.example.org"
	servers, questions := 200, 2000
	if r.length < 4*time.Second { // the short form
		servers, questions = 40, 400
	}
	cfgs := make([]fake.ServerConfig, servers)
	for i := range cfgs {
		cfgs[i] = fake.ServerConfig{Concurrency: 16, QueueLimit: 16, ServiceTime: 50 * time.Millisecond, SlowStart: cold, Zone: "a", Cell: i % 8}
	}
	g, err := r.group("crowd", host, cfgs...)
	if err != nil {
		return err
	}
	file := strings.Replace(extText("127.0.0.1:0", "", g), "attempts = 4", "attempts = 4\nstart_calls = 12", 1)
	if err := r.start(file); err != nil {
		return err
	}
	if err := r.settle(g); err != nil {
		return err
	}
	l, err := r.startProxies(4, proxy.Config{})
	if err != nil {
		return err
	}
	var faults sync.WaitGroup
	if r.violation == "" {
		r.at(ctx, &faults, 0.1, func() {
			var crowd sync.WaitGroup
			for i := range questions {
				crowd.Go(func() {
					l[i%len(l)].Do(ctx, fake.Stream{Name: "crowd", Host: host, Class: allClasses[i%len(allClasses)], BodyBytes: 100})
				})
			}
			crowd.Wait()
		})
	}
	if err := r.plays(ctx, &faults, l, fake.Stream{Host: host, Class: readClass, Rate: 30}); err != nil {
		return err
	}
	r.extFigures()
	refused := 0
	for _, x := range r.records.History().Exchanges {
		if x.Stream == "crowd" && (x.Status == 503 || x.Status == 429) {
			refused++
		}
	}
	r.addFigure("questions", questions, "at once")
	r.addFigure("refused_share", float64(refused)/float64(questions), "of them that were refused")
	r.tables = append(r.tables, streamTable(r.records.History()))
	return nil
}
