package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/mesh/transport"
)

// policyCommands are those of `switchboard rules`.
type policyCommands struct {
	Explain policyExplain `command:"explain" description:"tell the merged rule that a request meets, field by field, and from whom"`
	Owner   policyOwner   `command:"owner" description:"tell whose a route and its services are"`
	Report  policyReport  `command:"report" description:"tell every route on which namespaces meet"`
	Check   policyCheck   `command:"check" description:"judge a change against a saved configuration, without a mesh"`
	Status  policyStatus  `command:"status" description:"tell which set of rules is agreed on, which binds, and what it waits for"`
	Told    policyNotices `command:"told" description:"tell an owner what others' changes did to their rules"`
}

// changeAuthor is who makes a change, as options.
type changeAuthor struct {
	By       string   `long:"by" value-name:"NAME" description:"an owner of the namespaces that are changed; else it is the mesh's operator"`
	Consents []string `long:"consent" value-name:"NAMESPACE:NAME" description:"of an owner of what the change loosens"`
}

// addTo is a call as that author makes it.
func (a changeAuthor) addTo(text []byte) ([]byte, error) {
	if a.By == "" && len(a.Consents) == 0 {
		return text, nil
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	if a.By != "" {
		m["By"], _ = json.Marshal(a.By)
	}
	if len(a.Consents) > 0 {
		m["Consents"], _ = json.Marshal(a.Consents)
	}
	return json.Marshal(m)
}

// printEffects tells what a call would do to others' rules; the error: why it would be turned down.
func printEffects(table config.Table, c config.Update) error {
	_, raised, effects, err := table.ApplyUpdate(c)
	if err != nil {
		return errors.Annotate(err, "it would be refused")
	}
	if effects == nil {
		effects = []policy.Effect{}
	}
	return printResult(effects, func() {
		for _, e := range effects {
			fmt.Println(e)
		}
		fmt.Printf("%d items would change, %d fields of others' rules\n", len(raised), len(effects))
	})
}

// fetchPolicies are the rules as they bind, or as they are agreed on.
func fetchPolicies(control string, held bool) (set *policy.Set, table config.Table, told controlplane.PolicyResponse, err error) {
	_, table, err = fetchConfig(control)
	if err != nil {
		return nil, table, told, err
	}
	if told, err = callPolicy(control, controlplane.PolicyRequest{}); err != nil {
		return nil, table, told, err
	}
	rules := table
	if told.Active != nil && !held {
		text, err := json.Marshal(config.ModifyRequest{Upsert: told.Active})
		if err != nil {
			return nil, table, told, err
		}
		items, err := config.ParseItems(text)
		if err != nil {
			return nil, table, told, errors.Annotate(err, "what binds")
		}
		rules, _ = config.Table{}.Merge(items)
	}
	return config.NewPolicySet(table, rules), table, told, nil
}

// callPolicy is a call about rules, at whichever register; it leads on to the leader.
func callPolicy(addr string, c controlplane.PolicyRequest) (t controlplane.PolicyResponse, err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return t, err
	}
	text, err := callAPI(http.MethodPost, addr, "/v1/rules", body)
	if err != nil {
		return t, err
	}
	return t, errors.Annotate(json.NewDecoder(bytes.NewReader(text)).Decode(&t), "what came back")
}

type policyExplain struct {
	Caller string `long:"caller" value-name:"SERVICE" description:"that calls; else whoever does"`
	Held   bool   `long:"held" description:"as it is agreed on, though it may not bind yet"`
	With   string `long:"with" value-name:"FILE" description:"and what would hold with this change"`
	Line   string `long:"line" value-name:"ADDR" description:"and by which set this line goes, by its Inbound"`
	Args   struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		Host    string `positional-arg-name:"HOST"`
		Path    string `positional-arg-name:"PATH"`
	} `positional-args:"yes" required:"yes"`
}

// explainResult is what explain tells.
type explainResult struct {
	Board   policy.Rollout       `json:"board"`
	Rules   []policy.Explanation `json:"rules"`
	With    []policy.Explanation `json:"with,omitempty"`
	Line    string               `json:"line,omitempty"`
	Bound   string               `json:"bound,omitempty"` // that the line goes by
	BoundAt uint64               `json:"boundAt,omitempty"`
	SinceS  float64              `json:"sinceS,omitempty"`
	Fenced  bool                 `json:"fenced,omitempty"`
}

// Execute explains a request.
func (x *policyExplain) Execute([]string) error {
	set, table, told, err := fetchPolicies(x.Args.Control, x.Held)
	if err != nil {
		return err
	}
	out := explainResult{Board: told.Rollout}
	at := func(table config.Table, set *policy.Set) (l []policy.Explanation) {
		r := routing.NewTable(table).Match(x.Args.Host, x.Args.Path)
		if r == nil {
			return nil
		}
		route, _ := set.Route(r.Name)
		for _, s := range r.Destinations {
			l = append(l, set.Explain(route, s.Service, x.Caller))
		}
		return l
	}
	if out.Rules = at(table, set); out.Rules == nil {
		return errors.Errorf("no route takes %s%s", x.Args.Host, x.Args.Path)
	}
	if x.With != "" {
		text, err := os.ReadFile(x.With)
		if err != nil {
			return err
		}
		items, err := config.ParseItems(text)
		if err != nil {
			return errors.Annotate(err, x.With)
		}
		next, _ := table.Merge(items)
		out.With = at(next, config.NewPolicySet(next, next))
	}
	if x.Line != "" {
		ctx, cancel := withTimeout()
		defer cancel()
		c, err := transport.DialClient(ctx, x.Line, "switchboard", nil)
		if err != nil {
			return err
		}
		defer c.Close()
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		out.Line, out.Bound, out.BoundAt, out.SinceS, out.Fenced = s.Name, s.ActivePolicy, s.ActivePolicyIndex, time.Duration(s.ActivePolicyAgeUs*1000).Seconds(), s.Fenced
	}
	return printResult(out, func() {
		for _, r := range out.Rules {
			r.WriteText(os.Stdout)
		}
		if told.Rollout.IsPending() {
			fmt.Printf("set %q is agreed on and does not bind yet, but %q does: %s\n", told.Rollout.Agreed, told.Rollout.Active, told.WaitingFor)
		}
		if out.Line != "" {
			since := math.Round(10*out.SinceS) / 10
			fmt.Printf("line %s goes by set %q, of entry %d, since %g s%s%s\n", out.Line, out.Bound, out.BoundAt, since, map[bool]string{true: "; THE SET THAT BINDS IS ANOTHER"}[out.Bound != told.Rollout.Active],
				map[bool]string{true: "; FENCED: it could not confirm that"}[out.Fenced])
		}
		if out.With != nil {
			fmt.Println("with the change:")
			for _, r := range out.With {
				r.WriteText(os.Stdout)
			}
		}
	})
}

type policyOwner struct {
	Args struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		Route   string `positional-arg-name:"ROUTE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute tells whose a route is, and who may change it.
func (x *policyOwner) Execute([]string) error {
	set, _, _, err := fetchPolicies(x.Args.Control, true)
	if err != nil {
		return err
	}
	route, is := set.Route(x.Args.Route)
	if !is {
		return errors.Errorf("no route %q stands", x.Args.Route)
	}
	type owner struct {
		What   string   `json:"what"`
		Of     string   `json:"of"`
		Owners []string `json:"owners"`
	}
	people := map[string][]string{}
	for _, n := range set.Namespaces() {
		people[n.Name] = n.Owners
	}
	of := set.OwnerOfRoute(route)
	l := []owner{{"route " + route.Name, of, people[of]}}
	for _, s := range route.Services {
		of := set.OwnerOfService(s)
		l = append(l, owner{"service " + s, of, people[of]})
	}
	return printResult(l, func() {
		for _, o := range l {
			who := strings.Join(o.Owners, ", ")
			if who == "" {
				who = "the mesh's operator"
			}
			fmt.Printf("%s is of %s: %s\n", o.What, o.Of, who)
		}
	})
}

type policyReport struct {
	Args struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
	} `positional-args:"yes" required:"yes"`
}

// Execute tells where namespaces meet.
func (x *policyReport) Execute([]string) error {
	set, _, _, err := fetchPolicies(x.Args.Control, true)
	if err != nil {
		return err
	}
	r := set.Report()
	return printResult(r, func() { r.WriteText(os.Stdout) })
}

type policyCheck struct {
	changeAuthor
	Against string `long:"against" required:"yes" value-name:"FILE" description:"what switchboard backup wrote"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"a call of /v1/configuration/modify, as JSON"`
	} `positional-args:"yes" required:"yes"`
}

// Execute judges a change without a mesh; the exit code is 1 if it would be turned down.
func (x *policyCheck) Execute([]string) error {
	saved, err := os.ReadFile(x.Against)
	if err != nil {
		return err
	}
	items, err := config.ParseItems(saved)
	if err != nil {
		return errors.Annotate(err, x.Against)
	}
	table, _ := config.Table{}.Merge(items)
	c, err := x.changeAuthor.read(x.Args.File)
	if err != nil {
		return err
	}
	return printEffects(table, c)
}

// read reads a call as that author makes it.
func (a changeAuthor) read(file string) (c config.Update, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return c, err
	}
	if c, err = config.ParseUpdate(text); err != nil {
		return c, errors.Annotate(err, file)
	}
	if a.By != "" {
		c.Author = a.By
	}
	c.Consents = append(c.Consents, a.Consents...)
	return c, nil
}

type policyStatus struct {
	Args struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
	} `positional-args:"yes" required:"yes"`
}

// Execute tells which set binds; the exit code is 1 while another is agreed on.
func (x *policyStatus) Execute([]string) error {
	t, err := callPolicy(x.Args.Control, controlplane.PolicyRequest{})
	if err != nil {
		return err
	}
	if err := printResult(t, func() {
		b := t.Rollout
		switch {
		case b.IsPending():
			fmt.Printf("set %q is agreed on by entry %d and does not bind yet: %s\n", b.Agreed, b.AgreedIndex, t.WaitingFor)
		case b.Active == "":
			fmt.Println("no namespace has set any rule")
		default:
			fmt.Printf("set %q binds, by entry %d\n", b.Active, b.ActiveIndex)
		}
	}); err != nil {
		return err
	}
	if t.Rollout.IsPending() {
		return errNotWell
	}
	return nil
}

type policyNotices struct {
	Args struct {
		Control   string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		Namespace string `positional-arg-name:"NAMESPACE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute tells the latest notices of a namespace.
func (x *policyNotices) Execute([]string) error {
	t, err := callPolicy(x.Args.Control, controlplane.PolicyRequest{Namespace: x.Args.Namespace})
	if err != nil {
		return err
	}
	return printResult(t.Notices, func() {
		for _, n := range t.Notices {
			by := n.By
			if by == "" {
				by = "the mesh's operator"
			}
			fmt.Printf("entry %d, by %s: %s\n", n.Index, by, n.Effect)
		}
	})
}

// awaitPolicyActive waits until what is agreed on binds.
func awaitPolicyActive(control string) error {
	for end := time.Now().Add(policyActiveTimeout); ; time.Sleep(pollInterval) {
		t, err := callPolicy(control, controlplane.PolicyRequest{})
		switch {
		case err == nil && !t.Rollout.IsPending():
			return nil
		case time.Now().After(end) && err != nil:
			return err
		case time.Now().After(end):
			return errors.Errorf("agreed on, and does not bind yet: %s", t.WaitingFor)
		}
	}
}

// policyActiveTimeout is far beyond what a set waits for lines that do not answer.
const policyActiveTimeout = 15 * time.Second
