package demo

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/apiclient"
	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/testcluster"
)

// PolicyScenario is two teams whose policies apply to the same routes: the first owns a service and the host, the second a service
// that is a destination of the first team's routes.
type PolicyScenario struct {
	Length        time.Duration // of the traffic
	Services      [2]string     // of the first team and of the second
	Owners        [2]string     // of the namespaces, which have the names of the services
	KeyedRoute    string        // to the first service; its requests must run once
	ReadRoute     string        // to the second service
	DownloadRoute string        // to the second service; its responses must be complete; empty if there is none
}

// DispatchScenario returns a scenario of a dispatch office.
func DispatchScenario(length time.Duration) PolicyScenario {
	return PolicyScenario{
		Length:     length,
		Services:   [2]string{"dispatch", "devicebook"},
		Owners:     [2]string{"ana", "cy"},
		KeyedRoute: "send",
		ReadRoute:  "tokens",
	}
}

// IntakeScenario returns a scenario of a winery's intake, with downloads.
func IntakeScenario(length time.Duration) PolicyScenario {
	return PolicyScenario{
		Length:        length,
		Services:      [2]string{"crew-log", "cellar-ledger"},
		Owners:        [2]string{"kit", "lou"},
		KeyedRoute:    "weighing",
		ReadRoute:     "block",
		DownloadRoute: "export",
	}
}

const (
	// keyedAttempts and keyedPause are a client's retries of a keyed request that has not run, or is still in flight.
	keyedAttempts = 20
	keyedPause    = 300 * time.Millisecond
	// routeAttempts is how many servers the routes allow a request to be sent to, before any policy limits them.
	routeAttempts = 3
	// Intervals of the calls of each kind.
	policyCallInterval     = 8 * time.Millisecond
	policyDownloadInterval = 40 * time.Millisecond
	// leastPolicySets is the number of policy sets that must have been active for a run to be conclusive.
	leastPolicySets = 3
	// printedFaults is the most faults of one kind that are printed.
	printedFaults = 5
)

// policyDemo is one run of a scenario.
type policyDemo struct {
	*cluster
	PolicyScenario
	version int

	mu       sync.Mutex // guards below
	observed []observedPolicy
	dropped  []string // keys of requests without a successful attempt
}

// Policy lets both teams change policies that apply to the same routes while traffic runs, and checks the outcome of every request and
// the policy that applied to it on each sidecar. The error says that the demo could not run, that a request was lost or ran twice, or
// that two sidecars used different policies for longer than allowed.
func Policy(out io.Writer, scenario PolicyScenario) error {
	c, err := startCluster(out, scenario.machines(), scenario.routes()...)
	if err != nil {
		return err
	}
	defer c.closeAndRemove()
	d := &policyDemo{cluster: c, PolicyScenario: scenario, version: 1}
	if err := c.modify(scenario.namespaces()); err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%s owns the routes, %s the service that %s goes to; both set policies while traffic runs\n",
		d.Services[0], d.Services[1], d.ReadRoute)
	d.startTraffic()
	verdicts, err := d.changePolicies()
	c.stopCalls()
	if err != nil {
		return err
	}
	return d.judge(verdicts)
}

// machines returns the services of the machines: three of each team.
func (s PolicyScenario) machines() []string {
	return []string{s.Services[0], s.Services[0], s.Services[0], s.Services[1], s.Services[1], s.Services[1]}
}

// routes returns the items of the routes.
func (s PolicyScenario) routes() []map[string]any {
	route := func(name, kind, service string) map[string]any {
		item := testcluster.RouteItem(name, kind, "/"+name+"/", service, 1)
		item["ForwardAction"].(map[string]any)["RetryCount"] = routeAttempts
		return item
	}
	routes := []map[string]any{route(s.KeyedRoute, "keyed", s.Services[0]), route(s.ReadRoute, "idempotent", s.Services[1])}
	if s.DownloadRoute != "" {
		routes = append(routes, route(s.DownloadRoute, "download", s.Services[1]))
	}
	return routes
}

// namespaces returns the call that gives each team its namespace.
func (s PolicyScenario) namespaces() []byte {
	return testcluster.EncodeCall(map[string]any{"Upsert": map[string]any{"NamespaceList": []policy.Namespace{
		{
			Name:          s.Services[0],
			ConfigVersion: 1,
			Owners:        []string{s.Owners[0]},
			Services:      []string{s.Services[0]},
			Hosts:         []string{testcluster.Host},
		},
		{
			Name:          s.Services[1],
			ConfigVersion: 1,
			Owners:        []string{s.Owners[1]},
			Services:      []string{s.Services[1]},
		},
	}}})
}

// startTraffic starts calls of all kinds.
func (d *policyDemo) startTraffic() {
	d.startCalls(d.KeyedRoute, policyCallInterval, d.sendKeyed)
	d.startCalls(d.ReadRoute, policyCallInterval, func(n int) (testcluster.Response, bool) {
		return d.sendTraced(d.sidecar(n), "GET", fmt.Sprintf("/%s/%d", d.ReadRoute, n), ""), true
	})
	if d.DownloadRoute == "" {
		return
	}
	d.startCalls(d.DownloadRoute, policyDownloadInterval, func(n int) (testcluster.Response, bool) {
		response := d.sendTraced(d.sidecar(n), "GET", fmt.Sprintf("/%s/%d?bytes=%d", d.DownloadRoute, n, downloadBytes), "")
		return response, len(response.Body) > downloadBytes
	})
}

// sendKeyed sends the nth keyed request as clients do: a request that has not run, or is still in flight, is retried through any
// sidecar.
func (d *policyDemo) sendKeyed(n int) (response testcluster.Response, complete bool) {
	key := fmt.Sprint("k-", n)
	for attempt := range keyedAttempts {
		response = d.sendTraced(d.sidecar(n+attempt), "POST", "/"+d.KeyedRoute+"/new", key)
		if response.Status == http.StatusOK {
			return response, true
		}
		time.Sleep(keyedPause)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropped = append(d.dropped, key)
	return response, true
}

// sendTraced sends a request and records the policy that its response names.
func (d *policyDemo) sendTraced(machine *testcluster.Machine, method, path, key string) testcluster.Response {
	began := time.Now()
	response := machine.Send(method, path, key, []byte("one"))
	if response.Status == 0 || response.PolicyTrace == "" {
		return response
	}
	merged, set, _ := strings.Cut(response.PolicyTrace, " ")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observed = append(d.observed, observedPolicy{
		began:   began,
		ended:   time.Now(),
		sidecar: machine.Name,
		route:   strings.Split(path, "/")[1],
		policy:  merged,
		set:     set,
		caller:  machine.App.Service,
	})
	return response
}

// changePolicies makes the teams' changes one after the other, and returns the answers to those that are rejected on purpose.
func (d *policyDemo) changePolicies() (verdicts []string, err error) {
	pause := d.Length / 10
	time.Sleep(pause)
	for _, step := range []func() (verdict string, err error){
		func() (string, error) {
			return "", d.modify(d.change(0, policy.Policy{
				Name:     "patience",
				TimeoutS: 2,
				NeedsS:   0.5,
				Tries:    2,
			}))
		},
		func() (string, error) {
			return "", d.modify(d.change(1, policy.Policy{Name: "shelter", TimeoutS: 1.5, Tries: 1}))
		},
		d.changeTogether,
		func() (string, error) {
			return d.rejected("less time than the other's requests need", d.Members[1],
				d.change(1, policy.Policy{Name: "shelter", TimeoutS: 0.2, Tries: 1}), http.StatusConflict)
		},
		func() (string, error) {
			return d.rejected("more attempts than the other's policy let through, without consent", d.Members[2],
				d.change(1, policy.Policy{Name: "shelter", TimeoutS: 1, Tries: 2}), http.StatusForbidden)
		},
		func() (string, error) {
			return "", d.modify(d.change(1, policy.Policy{
				Name:     "shelter",
				TimeoutS: 1,
				Tries:    2,
			}, d.Services[0]+":"+d.Owners[0]))
		},
		func() (string, error) { return "", d.changeAndKillLeader(pause / 2) },
		d.changeWhileFrozen,
	} {
		verdict, err := step()
		if err != nil {
			return verdicts, err
		}
		if verdict != "" {
			verdicts = append(verdicts, verdict)
		}
		time.Sleep(pause)
	}
	return verdicts, apiclient.Client{Addr: d.Members[1].Addr("ControlPlane"), Timeout: orderTimeout}.AwaitPolicyActive()
}

// change returns a team's call that sets one of its policies, at the next version.
func (d *policyDemo) change(team int, p policy.Policy, consents ...string) []byte {
	d.version++
	p.ConfigVersion = int64(d.version)
	p.Namespace = d.Services[team]
	return testcluster.EncodeCall(map[string]any{
		"Upsert":   map[string]any{"RulingList": []policy.Policy{p}},
		"By":       d.Owners[team],
		"Consents": consents,
	})
}

// changeTogether makes both teams change a policy at the same time, at any members.
func (d *policyDemo) changeTogether() (string, error) {
	keyedAgain := false
	bodies := [2][]byte{
		d.change(0, policy.Policy{Name: "keys", KeyedAgain: &keyedAgain, On: policy.Selector{Routes: []string{d.KeyedRoute}}}),
		d.change(1, policy.Policy{Name: "shelter", TimeoutS: 1, Tries: 1}),
	}
	var errs [2]error
	var both sync.WaitGroup
	for team, body := range bodies {
		both.Go(func() { errs[team] = d.modify(body) })
	}
	both.Wait()
	return "", errors.Trace(firstError(errs[:]))
}

// rejected sends a change that must be answered with a status, and returns the answer.
func (d *policyDemo) rejected(why string, member *testcluster.Machine, body []byte, want int) (string, error) {
	status, text := member.Modify(body)
	if status != want {
		return "", errors.Errorf("%s: answered %d %s, and not %d", why, status, text, want)
	}
	return fmt.Sprintf("%s: %d %s", why, status, strings.TrimSpace(text)), nil
}

// changeAndKillLeader commits a policy set and kills the leader just before or after the set becomes active.
func (d *policyDemo) changeAndKillLeader(down time.Duration) error {
	leader := d.leader()
	if err := d.modify(d.change(0, policy.Policy{
		Name:     "patience",
		TimeoutS: 1.2,
		NeedsS:   0.5,
		Tries:    2,
	})); err != nil || leader == nil {
		return err
	}
	leader.Kill()
	time.Sleep(down)
	return leader.Start()
}

// changeWhileFrozen commits another policy set and waits until it is active while a sidecar is frozen.
func (d *policyDemo) changeWhileFrozen() (string, error) {
	frozen := d.Sidecars[len(d.Sidecars)-1]
	frozen.Process.Pause()
	defer frozen.Process.Resume()
	return "", d.modify(d.change(1, policy.Policy{Name: "shelter", TimeoutS: 0.9, Tries: 1}))
}

// leader returns the member that reports to be the leader, or nil.
func (c *cluster) leader() *testcluster.Machine {
	response, err := apiclient.Client{Addr: c.Members[0].Addr("ControlPlane"), Timeout: orderTimeout}.Policy(controlplane.PolicyRequest{})
	if err != nil {
		return nil
	}
	for _, member := range c.Members {
		if member.Process != nil && member.Process.Addr == response.Leader {
			return member
		}
	}
	return nil
}

// judge prints the outcomes of the requests and the policy sets, and returns an error for violations.
func (d *policyDemo) judge(verdicts []string) error {
	faulty := d.printOutcomes(d.out, "")
	fmt.Fprintln(d.out, "503 and 403 have not run")
	for _, verdict := range verdicts {
		fmt.Fprintln(d.out, verdict)
	}
	audit := auditPolicies(d.observed)
	fmt.Fprintf(d.out, "\n%d requests named their policy, by %d sets; a sidecar went by a set for %v at the most "+
		"once another had shown the next (%v is stated)\n",
		len(d.observed), audit.sets, audit.widest.Round(time.Millisecond), policy.FenceTimeout)
	for _, difference := range audit.differences[:min(printedFaults, len(audit.differences))] {
		fmt.Fprintln(d.out, "  "+difference)
	}
	switch err := d.checkRecords(); {
	case err != nil:
		return err
	case len(d.dropped) > 0:
		return errors.Errorf("%d of %s were dropped: %v", len(d.dropped), d.KeyedRoute, d.dropped[:min(printedFaults, len(d.dropped))])
	case faulty:
		return errors.New("some requests were lost, failed or cut short (0: no answer)")
	case len(audit.differences) > 0:
		return errors.Errorf("%d differences outside the stated span", len(audit.differences))
	case audit.sets < leastPolicySets:
		return errors.Errorf("only %d sets were seen in force: nothing was shown", audit.sets)
	}
	fmt.Fprintf(d.out, "every one of %s ran once, nothing was dropped or cut short, "+
		"and at every request all sidecars had the same merged policy\n", d.KeyedRoute)
	return nil
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
