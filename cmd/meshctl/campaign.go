package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/testcluster"
)

// policyDemo is two teams whose rules meet: the first owns a service and the host, the second a service that the first's routes
// go to as well.
type policyDemo struct {
	Length        time.Duration `long:"for" default:"12s" description:"how long the traffic runs"`
	first, second string
	owners        [2]string
	keyed         string // what must land once
	read          string // what must come back, of the second's service
	whole         string // what must come whole, the same; "": there is none
}

// setBy is a set of rules as a request's answer named it.
type observedPolicy struct {
	at, end         time.Time
	line, route     string
	rule, set, from string
}

// Execute has both teams change their rules against each other while traffic runs, and audits every request: what it was
// decided by, on every line, and what became of it.
func (d *policyDemo) Execute([]string) error {
	route := func(name, kind, to string) map[string]any {
		r := testcluster.RouteItem(name, kind, "/"+name+"/", to, 1)
		r["ForwardAction"].(map[string]any)["RetryCount"] = 3
		return r
	}
	routes := []map[string]any{route(d.keyed, "keyed", d.first), route(d.read, "idempotent", d.second)}
	if d.whole != "" {
		routes = append(routes, route(d.whole, "download", d.second))
	}
	m, err := startDemo([]string{d.first, d.first, d.first, d.second, d.second, d.second}, routes...)
	if err != nil {
		return err
	}
	defer m.closeAndRemove()
	spaces := map[string]any{"Upsert": map[string]any{"NamespaceList": []policy.Namespace{
		{Name: d.first, ConfigVersion: 1, Owners: []string{d.owners[0]}, Services: []string{d.first}, Hosts: []string{testcluster.Host}},
		{Name: d.second, ConfigVersion: 1, Owners: []string{d.owners[1]}, Services: []string{d.second}}}}}
	text, _ := json.Marshal(spaces)
	if err := m.modify(text); err != nil {
		return err
	}
	fmt.Printf("\n%s owns the routes, %s the service that %s goes to; both set rules while traffic runs\n", d.first, d.second, d.read)

	var mu sync.Mutex // guards seen and dropped
	var seen []observedPolicy
	var dropped []string
	traced := func(x *testcluster.Machine, method, path, key string) testcluster.Response {
		began := time.Now()
		told := x.Send(method, path, key, []byte("one"))
		if told.Status != 0 && told.PolicyTrace != "" {
			rule, set, _ := strings.Cut(told.PolicyTrace, " ")
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, observedPolicy{began, time.Now(), x.Name, strings.Split(path, "/")[1], rule, set, x.App.Service})
		}
		return told
	}
	m.startCalls(d.keyed, 8*time.Millisecond, func(n int) (told testcluster.Response, whole bool) {
		key := fmt.Sprint("k-", n)
		for try := range 20 { // as clients do: what has not run, or is at work, comes again, at any line
			told = traced(m.sidecar(n+try), "POST", "/"+d.keyed+"/new", key)
			if told.Status == 200 {
				return told, true
			}
			time.Sleep(300 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		dropped = append(dropped, key)
		return told, true
	})
	m.startCalls(d.read, 8*time.Millisecond, func(n int) (testcluster.Response, bool) {
		return traced(m.sidecar(n), "GET", fmt.Sprintf("/%s/%d", d.read, n), ""), true
	})
	const long = 200_000
	if d.whole != "" {
		m.startCalls(d.whole, 40*time.Millisecond, func(n int) (testcluster.Response, bool) {
			told := traced(m.sidecar(n), "GET", fmt.Sprintf("/%s/%d?bytes=%d", d.whole, n, long), "")
			return told, len(told.Body) > long
		})
	}
	verdicts, err := d.changePolicies(m)
	m.stopCalls()
	if err != nil {
		return err
	}
	fault := m.printOutcomes("")
	fmt.Println("503 and 403 have not run")
	for _, v := range verdicts {
		fmt.Println(v)
	}
	differences, sets, widest := auditPolicies(seen)
	fmt.Printf("\n%d requests named their rule, by %d sets; a line went by a set for %v at the most once another had shown the next (%v is stated)\n", len(seen), sets, widest.Round(time.Millisecond), policy.FenceTimeout)
	for _, x := range differences[:min(5, len(differences))] {
		fmt.Println("  " + x)
	}
	switch err := m.checkRecords(); {
	case err != nil:
		return err
	case len(dropped) > 0:
		return errors.Errorf("%d of %s were dropped: %v", len(dropped), d.keyed, dropped[:min(5, len(dropped))])
	case fault:
		return errors.New("some requests were lost, failed or cut short (0: no answer)")
	case len(differences) > 0:
		return errors.Errorf("%d differences outside the stated span", len(differences))
	case sets < 3:
		return errors.Errorf("only %d sets were seen in force: nothing was shown", sets)
	}
	fmt.Printf("every one of %s ran once, nothing was dropped or cut short, and at every request all lines had the same merged rule\n", d.keyed)
	return nil
}

// changePolicies is the teams' changes: one after the other, at the same moment at two registers, one that the other's rule refuses,
// one that loosens without consent and then with it; a register is killed and comes back, a line stands still.
func (d *policyDemo) changePolicies(m *demoCluster) (verdicts []string, err error) {
	step := d.Length / 10
	version := 1
	ruling := func(n int, r policy.Policy, consents ...string) []byte {
		version++
		r.ConfigVersion, r.Namespace = int64(version), []string{d.first, d.second}[n]
		text, _ := json.Marshal(map[string]any{"Upsert": map[string]any{"RulingList": []policy.Policy{r}}, "By": d.owners[n], "Consents": consents})
		return text
	}
	refused := func(why string, r *testcluster.Machine, body []byte, want int) error {
		status, text := r.Modify(body)
		if status != want {
			return errors.Errorf("%s: answered %d %s, and not %d", why, status, text, want)
		}
		verdicts = append(verdicts, fmt.Sprintf("%s: %d %s", why, status, strings.TrimSpace(text)))
		return nil
	}
	no := false
	time.Sleep(step)
	steps := []func() error{
		func() error {
			return m.modify(ruling(0, policy.Policy{Name: "patience", TimeoutS: 2, NeedsS: 0.5, Tries: 2}))
		},
		func() error { return m.modify(ruling(1, policy.Policy{Name: "shelter", TimeoutS: 1.5, Tries: 1})) },
		func() error { // both at the same moment, at two registers
			a, b := ruling(0, policy.Policy{Name: "keys", KeyedAgain: &no, On: policy.Selector{Routes: []string{d.keyed}}}), ruling(1, policy.Policy{Name: "shelter", TimeoutS: 1, Tries: 1})
			var both sync.WaitGroup
			var errs [2]error
			both.Go(func() { errs[0] = m.modify(a) })
			both.Go(func() { errs[1] = m.modify(b) })
			both.Wait()
			if errs[0] != nil {
				return errs[0]
			}
			return errs[1]
		},
		func() error {
			return refused("less time than the other's requests need", m.Members[1], ruling(1, policy.Policy{Name: "shelter", TimeoutS: 0.2, Tries: 1}), 409)
		},
		func() error {
			return refused("more tries than the other's rule let through, without consent", m.Members[2], ruling(1, policy.Policy{Name: "shelter", TimeoutS: 1, Tries: 2}), 403)
		},
		func() error {
			return m.modify(ruling(1, policy.Policy{Name: "shelter", TimeoutS: 1, Tries: 2}, d.first+":"+d.owners[0]))
		},
		func() error { // a set is agreed on, and the register that leads is killed before it binds or just after
			lead := m.leader()
			if err := m.modify(ruling(0, policy.Policy{Name: "patience", TimeoutS: 1.2, NeedsS: 0.5, Tries: 2})); err != nil || lead == nil {
				return err
			}
			lead.Kill()
			time.Sleep(step / 2)
			return lead.Start()
		},
		func() error { // a line stands still while another set binds without it
			x := m.Sidecars[5]
			x.Process.Pause()
			defer x.Process.Resume()
			return m.modify(ruling(1, policy.Policy{Name: "shelter", TimeoutS: 0.9, Tries: 1}))
		},
	}
	for _, f := range steps {
		if err := f(); err != nil {
			return verdicts, err
		}
		time.Sleep(step)
	}
	return verdicts, awaitPolicyActive(m.Members[1].Addr("ControlPlane"))
}

// leader is the register that leads; nil: none says so.
func (s *demoCluster) leader() *testcluster.Machine {
	t, err := callPolicy(s.Members[0].Addr("ControlPlane"), controlplane.PolicyRequest{})
	for _, r := range s.Members {
		if err == nil && r.Process != nil && r.Process.Addr == t.Leader {
			return r
		}
	}
	return nil
}

// auditPolicies compares what requests were decided by: under one set one route has one merged rule for one who calls, on every line;
// and no line goes by a set for longer than the fence after another has shown the next one. widest is for how long two
// lines did differ.
func auditPolicies(seen []observedPolicy) (differences []string, sets int, widest time.Duration) {
	sort.Slice(seen, func(i, j int) bool { return seen[i].at.Before(seen[j].at) })
	rules := map[string]observedPolicy{}
	first := map[string]time.Time{} // when a set was first seen in force, at the latest
	var order []string
	for _, x := range seen {
		key := x.route + " " + x.from + " " + x.set
		if was, is := rules[key]; is && was.rule != x.rule {
			differences = append(differences, fmt.Sprintf("%s from %s: %s has rule %s and %s has %s, both by set %s", x.route, x.from, was.line, was.rule, x.line, x.rule, x.set))
		}
		rules[key] = x
		if at, is := first[x.set]; !is || x.end.Before(at) {
			if !is {
				order = append(order, x.set)
			}
			first[x.set] = x.end
		}
	}
	sort.Slice(order, func(i, j int) bool { return first[order[i]].Before(first[order[j]]) })
	next := map[string]string{}
	for i := 1; i < len(order); i++ {
		next[order[i-1]] = order[i]
	}
	for _, x := range seen {
		if after, is := next[x.set]; is {
			if late := x.at.Sub(first[after]); late > 0 {
				widest = max(widest, late)
				if late > policy.FenceTimeout {
					differences = append(differences, fmt.Sprintf("%s goes by set %s %v after set %s was in force elsewhere", x.line, x.set, late, after))
				}
			}
		}
	}
	return differences, len(order), widest
}
