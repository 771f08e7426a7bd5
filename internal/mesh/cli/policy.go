package cli

import (
	"encoding/json"
	"math"
	"strings"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/mesh/topology"
	"cranegrade/internal/mesh/transport"
)

// policyCommands are the subcommands of meshctl policy.
type policyCommands struct {
	Explain policyExplain `command:"explain" description:"print the merged policy that applies to a request, and the source of each field"`
	Owner   policyOwner   `command:"owner" description:"print the owners of a route and its services"`
	Report  policyReport  `command:"report" description:"print the routes to which policies of several namespaces apply"`
	Check   policyCheck   `command:"check" description:"check a change against a saved configuration, without a mesh"`
	Status  policyStatus  `command:"status" description:"print which policy set is committed, which is active, and what activation waits for"`
	Notices policyNotices `command:"notices" description:"print to an owner what others' changes did to their policies"`
	Told    policyNotices `command:"told" hidden:"yes" description:"former name of notices"`
}

func newPolicyCommands(env *environment) *policyCommands {
	return &policyCommands{
		Explain: policyExplain{env: env},
		Owner:   policyOwner{env: env},
		Report:  policyReport{env: env},
		Check:   policyCheck{env: env},
		Status:  policyStatus{env: env},
		Notices: policyNotices{env: env},
		Told:    policyNotices{env: env},
	}
}

// meshOperator is the displayed name of an author who owns no namespace.
const meshOperator = "the mesh's operator"

// policyState is the configuration and a policy set of a mesh.
type policyState struct {
	set      *policy.Set
	table    config.Table
	response controlplane.PolicyResponse
}

// fetchPolicies reads the configuration, with either the active policy set or the committed one.
func (env *environment) fetchPolicies(addr string, agreed bool) (state policyState, err error) {
	api := env.api(addr)
	if _, state.table, err = api.Configuration(); err != nil {
		return state, err
	}
	if state.response, err = api.Policy(controlplane.PolicyRequest{}); err != nil {
		return state, err
	}
	policies := state.table
	if state.response.Active != nil && !agreed {
		if policies, err = activePolicies(state.response); err != nil {
			return state, err
		}
	}
	state.set = config.NewPolicySet(state.table, policies)
	return state, nil
}

// activePolicies returns the active namespaces and policies while other ones are committed and not active yet.
func activePolicies(response controlplane.PolicyResponse) (config.Table, error) {
	text, err := json.Marshal(config.ModifyRequest{Upsert: response.Active})
	if err != nil {
		return config.Table{}, err
	}
	items, err := config.ParseItems(text)
	if err != nil {
		return config.Table{}, errors.Annotate(err, "reading the active policies")
	}
	table, _ := config.Table{}.Merge(items)
	return table, nil
}

type policyExplain struct {
	env     *environment
	Caller  string `long:"caller" value-name:"SERVICE" description:"that calls; default: any"`
	Agreed  bool   `long:"agreed" description:"use the committed policy set, though it may not be active yet"`
	Held    bool   `long:"held" hidden:"yes"` // the former name of Agreed
	With    string `long:"with" value-name:"FILE" description:"also print the policy with this change"`
	Sidecar string `long:"sidecar" value-name:"ADDR" description:"also print the active policy set of this sidecar, by its Inbound"`
	Line    string `long:"line" hidden:"yes"` // the former name of Sidecar
	Args    struct {
		API  string `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
		Host string `positional-arg-name:"HOST"`
		Path string `positional-arg-name:"PATH"`
	} `positional-args:"yes" required:"yes"`
}

// explainResult is the result of explain.
type explainResult struct {
	Rollout      policy.Rollout       `json:"rollout"`
	Policies     []policy.Explanation `json:"policies"`
	WithChange   []policy.Explanation `json:"withChange,omitempty"`
	Sidecar      string               `json:"sidecar,omitempty"`
	Active       string               `json:"active,omitempty"` // active set of the sidecar
	ActiveIndex  uint64               `json:"activeIndex,omitempty"`
	ActiveSinceS float64              `json:"activeSinceS,omitempty"`
	Fenced       bool                 `json:"fenced,omitempty"`
}

// Execute prints which policy applies to a request, and where its values come from.
func (c *policyExplain) Execute([]string) error {
	state, err := c.env.fetchPolicies(c.Args.API, c.Agreed || c.Held)
	if err != nil {
		return err
	}
	result := explainResult{Rollout: state.response.Rollout, Policies: c.explain(state.table, state.set)}
	if result.Policies == nil {
		return errors.Errorf("no route takes %s%s", c.Args.Host, c.Args.Path)
	}
	if c.With != "" {
		if result.WithChange, err = c.explainWithChange(state.table); err != nil {
			return err
		}
	}
	if c.Sidecar == "" {
		c.Sidecar = c.Line
	}
	if c.Sidecar != "" {
		if err := c.addSidecar(&result); err != nil {
			return err
		}
	}
	return c.env.print(result, func() { c.printText(result, state.response.WaitingFor) })
}

// explain returns the merged policy for each destination of the route that matches the request, or nil if no route does.
func (c *policyExplain) explain(table config.Table, set *policy.Set) (list []policy.Explanation) {
	match := routing.NewTable(table).Match(c.Args.Host, c.Args.Path)
	if match == nil {
		return nil
	}
	route, _ := set.Route(match.Name)
	for _, destination := range match.Destinations {
		list = append(list, set.Explain(route, destination.Service, c.Caller))
	}
	return list
}

func (c *policyExplain) explainWithChange(table config.Table) ([]policy.Explanation, error) {
	items, err := readItems(c.With)
	if err != nil {
		return nil, err
	}
	next, _ := table.Merge(items)
	return c.explain(next, config.NewPolicySet(next, next)), nil
}

// addSidecar asks the sidecar for its active policy set.
func (c *policyExplain) addSidecar(result *explainResult) error {
	ctx, cancel := c.env.context()
	defer cancel()
	client, err := transport.DialClient(ctx, c.Sidecar, topology.ClientName, nil)
	if err != nil {
		return err
	}
	defer client.Close()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	result.Sidecar = status.Name
	result.Fenced = status.Fenced
	result.Active = status.ActivePolicy
	result.ActiveIndex = status.ActivePolicyIndex
	result.ActiveSinceS = time.Duration(status.ActivePolicyAgeUs * int64(time.Microsecond)).Seconds()
	return nil
}

func (c *policyExplain) printText(result explainResult, waitingFor string) {
	rollout := result.Rollout
	for _, p := range result.Policies {
		p.WriteText(c.env.out)
	}
	if rollout.IsPending() {
		c.env.printf("set %q is committed and not active yet, but %q is: %s\n", rollout.Agreed, rollout.Active, waitingFor)
	}
	if result.Sidecar != "" {
		note := ""
		if result.Active != rollout.Active {
			note = "; THE ACTIVE SET IS ANOTHER"
		}
		if result.Fenced {
			note += "; FENCED: it could not confirm that"
		}
		c.env.printf("sidecar %s uses set %q, of entry %d, since %g s%s\n",
			result.Sidecar, result.Active, result.ActiveIndex, math.Round(10*result.ActiveSinceS)/10, note)
	}
	if result.WithChange != nil {
		c.env.println("with the change:")
		for _, p := range result.WithChange {
			p.WriteText(c.env.out)
		}
	}
}

type policyOwner struct {
	env  *environment
	Args struct {
		API   string `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
		Route string `positional-arg-name:"ROUTE"`
	} `positional-args:"yes" required:"yes"`
}

// ownerResult is the owner of a route or a service.
type ownerResult struct {
	What      string   `json:"what"`
	Namespace string   `json:"namespace"`
	Owners    []string `json:"owners"`
}

// Execute prints the owner of a route, and who may change it.
func (c *policyOwner) Execute([]string) error {
	state, err := c.env.fetchPolicies(c.Args.API, true)
	if err != nil {
		return err
	}
	route, found := state.set.Route(c.Args.Route)
	if !found {
		return errors.Errorf("no route %q is in force", c.Args.Route)
	}
	owners := map[string][]string{}
	for _, namespace := range state.set.Namespaces() {
		owners[namespace.Name] = namespace.Owners
	}
	namespace := state.set.OwnerOfRoute(route)
	results := []ownerResult{{"route " + route.Name, namespace, owners[namespace]}}
	for _, service := range route.Services {
		namespace := state.set.OwnerOfService(service)
		results = append(results, ownerResult{"service " + service, namespace, owners[namespace]})
	}
	return c.env.print(results, func() {
		for _, r := range results {
			who := strings.Join(r.Owners, ", ")
			if who == "" {
				who = meshOperator
			}
			c.env.printf("%s is of %s: %s\n", r.What, r.Namespace, who)
		}
	})
}

type policyReport struct {
	env  *environment
	Args apiAddress `positional-args:"yes" required:"yes"`
}

// Execute prints the routes to which policies of several namespaces apply.
func (c *policyReport) Execute([]string) error {
	state, err := c.env.fetchPolicies(c.Args.API, true)
	if err != nil {
		return err
	}
	report := state.set.Report()
	return c.env.print(report, func() { report.WriteText(c.env.out) })
}

type policyStatus struct {
	env  *environment
	Args apiAddress `positional-args:"yes" required:"yes"`
}

// Execute prints the active policy set. The exit code is 1 while another set is committed and not active yet.
func (c *policyStatus) Execute([]string) error {
	response, err := c.env.api(c.Args.API).Policy(controlplane.PolicyRequest{})
	if err != nil {
		return err
	}
	rollout := response.Rollout
	if err := c.env.print(response, func() {
		switch {
		case rollout.IsPending():
			c.env.printf("set %q is committed by entry %d and not active yet: %s\n", rollout.Agreed, rollout.AgreedIndex, response.WaitingFor)
		case rollout.Active == "":
			c.env.println("no namespace has set any policy")
		default:
			c.env.printf("set %q is active, by entry %d\n", rollout.Active, rollout.ActiveIndex)
		}
	}); err != nil {
		return err
	}
	if rollout.IsPending() {
		return errNotWell
	}
	return nil
}

type policyNotices struct {
	env  *environment
	Args struct {
		API       string `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
		Namespace string `positional-arg-name:"NAMESPACE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the latest notices of a namespace.
func (c *policyNotices) Execute([]string) error {
	response, err := c.env.api(c.Args.API).Policy(controlplane.PolicyRequest{Namespace: c.Args.Namespace})
	if err != nil {
		return err
	}
	return c.env.print(response.Notices, func() {
		for _, notice := range response.Notices {
			by := notice.By
			if by == "" {
				by = meshOperator
			}
			c.env.printf("entry %d, by %s: %s\n", notice.Index, by, notice.Effect)
		}
	})
}
