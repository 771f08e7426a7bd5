package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"cranegrade/balancer"
)

// settingsObject is the settings object in the simulator's words. Fields that only the simulator needs are
// left out. Times are milliseconds.
type settingsObject struct {
	Balancers int            `json:"balancers"`
	Blend     blendObject    `json:"blend"`
	Lanes     []laneObject   `json:"lanes"`
	Limits    limitsObject   `json:"limits"`
	Registry  string         `json:"registry-mode"`
	Rules     rulesObject    `json:"rules"`
	OverShare float64        `json:"over-share-worth"`
	Tenants   []tenantObject `json:"tenants"`
	Me        int            `json:"me"`
	Tick      float64        `json:"tick-ms"`
	Tier      int            `json:"tier"`
	Sizes     string         `json:"weights"`
}

// blendObject weighs the parts of the score.
type blendObject struct {
	Whole       float64 `json:"whole"`
	WorstClass  float64 `json:"worst-class"`
	WorstTenant float64 `json:"worst-tenant"`
}

// laneObject is a class of requests.
type laneObject struct {
	Deadline  float64 `json:"deadline-ms"`
	Effect    string  `json:"effect"`
	Scope     string  `json:"key-scope"`
	LateShare float64 `json:"late-share"`
	Name      string  `json:"name"`
	Stream    bool    `json:"stream"`
	Target    float64 `json:"target-ms"`
	Window    float64 `json:"window-ms"`
	Worth     float64 `json:"worth"`
}

type limitsObject struct {
	Cancelling    bool    `json:"cancelling"`
	ConnIdle      float64 `json:"conn-idle-ms"`
	ConnectWithin float64 `json:"connect-timeout-ms"`
	MaxAttempts   int     `json:"max-attempts"`
	MaxRetryAfter float64 `json:"max-retry-after-ms"`
	SecondCopies  bool    `json:"second-copies"`
	RetryAfter    bool    `json:"retry-after"`
}

type rulesObject struct {
	AskWithin    float64 `json:"ask-within-ms"`
	ColdFrom     float64 `json:"cold-from"`
	FallFor      float64 `json:"fall-ms"`
	FallMultiple float64 `json:"fall-multiple"`
	WarmAfter    float64 `json:"warm-after-ms"`
}

type tenantObject struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota-per-s"`
}

// registryOnRequest is the mode of a registry that has to be subscribed to.
const registryOnRequest = "on_request"

var scopes = map[string]balancer.Scope{
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

var sizes = map[string]balancer.Sizes{
	"nominal": balancer.SizesNominal,
	"rough":   balancer.SizesRough,
	"live":    balancer.SizesLive,
}

var effects = map[string]balancer.Effect{
	"read_like":       balancer.Idempotent,
	"idempotency_key": balancer.IdempotentByKey,
}

// Connections holds the settings of connections to servers. The simulator applies them itself; a node has
// to. Members of a fleet compare them with the names of these fields, which therefore stay. 0 means not given.
type Connections struct {
	Idle          time.Duration // a server closes a connection that was idle for so long
	ConnectWithin time.Duration // a server that is not connected to within it counts as unreachable
}

// ParseSettings parses the settings object. Keys that it does not know are ignored. An unknown effect is
// NonIdempotent and an unknown scope is the narrowest, so that nothing is repeated that must not be.
func ParseSettings(text []byte) (balancer.Settings, Connections, error) {
	var o settingsObject
	if err := json.Unmarshal(text, &o); err != nil {
		return balancer.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	connections := Connections{
		Idle:          fromMilliseconds(o.Limits.ConnIdle),
		ConnectWithin: fromMilliseconds(o.Limits.ConnectWithin),
	}
	return o.settings(), connections, nil
}

// settings are those of the decision module.
func (o *settingsObject) settings() balancer.Settings {
	s := balancer.Settings{
		Balancers:         o.Balancers,
		Index:             o.Me,
		Tier:              o.Tier,
		WholeWeight:       o.Blend.Whole,
		ClassWeight:       o.Blend.WorstClass,
		WorstTenantWeight: o.Blend.WorstTenant,
		OverShare:         o.OverShare,
		MaxAttempts:       o.Limits.MaxAttempts,
		SecondCopies:      o.Limits.SecondCopies,
		MayCancel:         o.Limits.Cancelling,
		Sizes:             sizes[o.Sizes],
		AskDiscovery:      o.Registry == registryOnRequest,
		AskWithin:         fromMilliseconds(o.Rules.AskWithin),
		Tick:              fromMilliseconds(o.Tick),
		ColdFrom:          o.Rules.ColdFrom,
		WarmAfter:         fromMilliseconds(o.Rules.WarmAfter),
		FallMultiple:      o.Rules.FallMultiple,
		FallFor:           fromMilliseconds(o.Rules.FallFor),
	}
	if o.Limits.RetryAfter {
		s.MaxRetryAfter = fromMilliseconds(o.Limits.MaxRetryAfter)
	}
	for _, lane := range o.Lanes {
		s.Classes = append(s.Classes, lane.class())
	}
	for _, t := range o.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return s
}

func (l *laneObject) class() balancer.Class {
	return balancer.Class{
		Name:      l.Name,
		Effect:    effects[l.Effect],
		Scope:     scopes[l.Scope],
		Window:    fromMilliseconds(l.Window),
		Aim:       fromMilliseconds(l.Target),
		Deadline:  fromMilliseconds(l.Deadline),
		LateShare: l.LateShare,
		Worth:     l.Worth,
		Stream:    l.Stream,
	}
}
