package drill

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/fake/proxy"
	"cranegrade/internal/testfleet"
)

const crowdHost = "crowd.example.org"

// extprocCrowd has 2,000 questions come at once to a processor that has just started, for 200 idle servers that its file says take twelve
// calls each: hardly any may be rejected.
func extprocCrowd(ctx context.Context, env *environment) error {
	servers, questions := 200, 2000
	if env.length < shortLength {
		servers, questions = 40, 400
	}
	configs := make([]fake.ServerConfig, servers)
	for i := range configs {
		configs[i] = fake.ServerConfig{
			Concurrency: 16, QueueLimit: 16, ServiceTime: 50 * time.Millisecond, SlowStart: testfleet.SlowStart, Zone: "a", Cell: i % 8,
		}
	}
	g, err := env.startGroup("crowd", crowdHost, configs...)
	if err != nil {
		return err
	}
	config := strings.Replace(extprocConfig("127.0.0.1:0", "", g), "attempts = 4", "attempts = 4\nstart_calls = 12", 1)
	if err := env.startProgram(config); err != nil {
		return err
	}
	if err := env.awaitWatches(g); err != nil {
		return err
	}
	proxies, err := env.startProxies(4, proxy.Config{})
	if err != nil {
		return err
	}
	var faults sync.WaitGroup
	if env.violation == "" {
		env.atShare(ctx, &faults, 0.1, func() { askAtOnce(ctx, proxies, questions) })
	}
	if err := env.runProxyTraffic(ctx, &faults, proxies, fake.Stream{Host: crowdHost, Class: testfleet.ReadClass, Rate: 30}); err != nil {
		return err
	}
	env.reportProxies()
	env.reportCrowd(questions)
	return nil
}

// askAtOnce sends requests of all classes at once.
func askAtOnce(ctx context.Context, proxies []*proxy.Proxy, requests int) {
	var running sync.WaitGroup
	for i := range requests {
		class := testfleet.Classes[i%len(testfleet.Classes)]
		running.Go(func() {
			proxies[i%len(proxies)].Do(ctx, fake.Stream{Name: "crowd", Host: crowdHost, Class: class, BodyBytes: 100})
		})
	}
	running.Wait()
}

func (env *environment) reportCrowd(questions int) {
	rejected := 0
	for _, x := range env.recorder.History().Exchanges {
		isRejected := x.Status == http.StatusServiceUnavailable || x.Status == http.StatusTooManyRequests
		if x.Stream == "crowd" && isRejected {
			rejected++
		}
	}
	env.addFigure("questions", questions, "at once")
	env.addFigure("refused_share", float64(rejected)/float64(questions), "of them that were rejected")
	env.addStreamTable()
}
