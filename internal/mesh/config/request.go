package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/policy"
)

// Seconds is a time as the wire has it.
type Seconds float64

// Duration is the time.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// RouteSpec is a route's content.
type RouteSpec struct {
	Name           string  `json:"Name" validate:"required,max=512"`
	RouteType      string  `json:"RouteType" validate:"oneof=idempotent non_idempotent keyed download"`
	TargetLatencyS Seconds `json:"TargetLatencyS" validate:"gte=0"`
	Priority       int     `json:"Priority" validate:"gte=0,lte=1000"`
	ConfigVersion  int64   `json:"ConfigVersion"`
	MatchCriteria  struct {
		PathPrefix string `json:"PathPrefix" validate:"startswith=/,endswith=/,max=4096"`
	} `json:"MatchCriteria"`
	ForwardAction struct {
		Service      string            `json:"Service" validate:"required_without=TrafficSplit"`
		TrafficSplit []WeightedService `json:"TrafficSplit" validate:"max=256,dive"`
		TimeoutS     Seconds           `json:"TimeoutS" validate:"gt=0,lte=86400"`
		RetryCount   int               `json:"RetryCount" validate:"gt=0,lte=1000"`
	} `json:"ForwardAction"`
}

// WeightedService is a part of a route's requests.
type WeightedService struct {
	Service string  `json:"Service" validate:"required"`
	Weight  float64 `json:"Weight" validate:"gte=0"`
}

// Destinations are those that a rule sends to.
func (r *RouteSpec) Destinations() []WeightedService {
	if len(r.ForwardAction.TrafficSplit) > 0 {
		return r.ForwardAction.TrafficSplit
	}
	return []WeightedService{{r.ForwardAction.Service, 1}}
}

// ServiceSpec is a service's content.
type ServiceSpec struct {
	Name           string `json:"Name" validate:"required,max=512"`
	HealthPath     string `json:"HealthPath"`
	MaxConnections int    `json:"MaxConnections" validate:"gte=0"`
	Protocol       string `json:"Protocol"`
	TLSEnabled     bool   `json:"TlsEnabled"`
	DedupEnabled   bool   `json:"DedupEnabled"`
	ConfigVersion  int64  `json:"ConfigVersion"`
}

// LimitsSpec are the content of the one item of limits.
type LimitsSpec struct {
	MaxHeaderBytes int     `json:"MaxHeaderBytes" validate:"gte=0"`
	MaxBodyBytes   int64   `json:"MaxBodyBytes" validate:"gte=0"`
	HeaderTimeoutS Seconds `json:"HeaderTimeoutS" validate:"gte=0"`
	IdleTimeoutS   Seconds `json:"IdleTimeoutS" validate:"gte=0"`
	ConfigVersion  int64   `json:"ConfigVersion"`
}

// Listener is a host and its rules, as the wire lays them out.
type Listener struct {
	HostName    string            `json:"HostName"`
	PolicyRules []json.RawMessage `json:"PolicyRules"`
}

// Document is items as the wire lays them out.
type Document struct {
	Limits         json.RawMessage   `json:"Limits,omitempty"`
	ListenerList   []Listener        `json:"ListenerList"`
	UpstreamGroups []json.RawMessage `json:"UpstreamGroups"`
	ContractList   []json.RawMessage `json:"ContractList,omitempty"`  // hours in which machines may come out; none: nobody has approved any
	NamespaceList  []json.RawMessage `json:"NamespaceList,omitempty"` // what teams own; none: all is the mesh operator's
	RulingList     []json.RawMessage `json:"RulingList,omitempty"`    // what they say of requests
}

// Removal names an item that is to go.
type Removal struct {
	Name          string `json:"Name" validate:"required,max=512"`
	ConfigVersion int64  `json:"ConfigVersion"`
}

// ModifyRequest is an operator's call.
type ModifyRequest struct {
	Upsert *Document `json:"Upsert"`
	Remove *struct { // nil: none
		RouteTable     []Removal `json:"RouteTable"`
		ServiceTable   []Removal `json:"ServiceTable"`
		UpstreamGroups []Removal `json:"UpstreamGroups"`
		ContractTable  []Removal `json:"ContractTable"`
		NamespaceTable []Removal `json:"NamespaceTable"`
		RulingTable    []Removal `json:"RulingTable"`
	} `json:"Remove,omitempty"`
	// By is who makes the call, for a namespace that they own; "": the mesh's operator. Consents are other owners' to what it
	// loosens, as namespace:name. Neither is proved.
	By       string   `json:"By,omitempty" validate:"max=128"`
	Consents []string `json:"Consents,omitempty" validate:"max=64,dive,max=257"`
}

// Update is a call as it was read.
type Update struct {
	Items    []Item
	Author   string
	Consents []string
}

// decodeJSON reads JSON to its end.
func decodeJSON(p []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(p))
	d.UseNumber()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more behind the end")
	}
	return nil
}

// canonicalJSON is the one form of a content: keys in order, no space.
func canonicalJSON(raw json.RawMessage) []byte {
	var v any
	if decodeJSON(raw, &v) != nil {
		return raw
	}
	p, err := json.Marshal(v)
	if err != nil {
		return raw
	}
	return p
}

// ParseItems reads a call's items and checks all that can be told from it alone. The error is a Fault.
func ParseItems(text []byte) ([]Item, error) {
	c, err := ParseUpdate(text)
	return c.Items, err
}

// ParseUpdate is Read of the whole call.
func ParseUpdate(text []byte) (Update, error) {
	var m ModifyRequest
	items, fault := m.parse(text)
	if fault != nil {
		if fault.Line == 0 && bytes.IndexByte(text, '\n') >= 0 {
			fault.locate(text)
		}
		return Update{}, fault
	}
	return Update{items, m.By, m.Consents}, nil
}

func (m *ModifyRequest) parse(text []byte) ([]Item, *FieldError) {
	if err := decodeJSON(text, m); err != nil {
		f := decodeError("the call", text, err)
		if f.Field == "" {
			f.Reason = "can't be read whole: " + err.Error()
		}
		return nil, f
	}
	if m.Upsert == nil && m.Remove == nil {
		return nil, newFieldError("the call", "", "holds no items")
	}
	if f := checkTags("the call", *m); f != nil && (f.Field == "By" || strings.HasPrefix(f.Field, "Consents")) {
		return nil, f
	}
	var items []Item
	if m.Upsert != nil {
		l, err := m.Upsert.items()
		if err != nil {
			return nil, err
		}
		items = l
	}
	if m.Remove != nil {
		drop := func(kind Kind, l []Removal) *FieldError {
			for _, d := range l {
				if err := checkTags("Remove: "+kind.String()+" "+d.Name, d); err != nil {
					return err.withSource([]byte(strconv.Quote(d.Name)))
				}
				items = append(items, Item{Key: Key{kind, d.Name}, Version: d.ConfigVersion, Deleted: true})
			}
			return nil
		}
		for _, l := range []struct {
			kind Kind
			list []Removal
		}{{KindRoute, m.Remove.RouteTable}, {KindService, m.Remove.ServiceTable}, {KindService, m.Remove.UpstreamGroups}, {KindContract, m.Remove.ContractTable},
			{KindNamespace, m.Remove.NamespaceTable}, {KindPolicy, m.Remove.RulingTable}} {
			if err := drop(l.kind, l.list); err != nil {
				return nil, err
			}
		}
	}
	return deduplicate(items)
}

// deduplicate has each item stand in a call once: said twice alike it is said once, and of several versions the highest holds.
func deduplicate(items []Item) ([]Item, *FieldError) {
	at := map[Key]int{}
	var out []Item
	for _, i := range items {
		n, seen := at[i.Key]
		switch {
		case !seen:
			at[i.Key] = len(out)
			out = append(out, i)
		case out[n].Version == i.Version && !out[n].hasSameContent(i):
			return nil, newFieldError(i.Kind.String()+" "+i.Key.Name, "", "stands in the call twice, with one version and two contents")
		case out[n].Version < i.Version:
			out[n] = i
		}
	}
	return out, nil
}

func (s *Document) items() (items []Item, fault *FieldError) {
	for n, l := range s.ListenerList {
		if l.HostName == "" {
			return nil, newFieldError(fmt.Sprintf("ListenerList[%d]", n), "HostName", "HostName is empty").withSource([]byte(`"HostName"`))
		}
		for _, raw := range l.PolicyRules {
			var r RouteSpec
			if err := json.Unmarshal(raw, &r); err != nil {
				return nil, decodeError("a rule of host "+l.HostName, nil, err).withSource(raw)
			}
			if err := r.validate(); err != nil {
				return nil, err.withSource(raw)
			}
			items = append(items, Item{Key: Key{KindRoute, r.Name}, Version: r.ConfigVersion, Host: l.HostName, Body: canonicalJSON(raw), routeSpec: &r})
		}
	}
	for _, raw := range s.UpstreamGroups {
		var g ServiceSpec
		if err := json.Unmarshal(raw, &g); err != nil {
			return nil, decodeError("a service", nil, err).withSource(raw)
		}
		if err := checkTags("service "+g.Name, g); err != nil {
			return nil, err.withSource(raw)
		}
		items = append(items, Item{Key: Key{KindService, g.Name}, Version: g.ConfigVersion, Body: canonicalJSON(raw)})
	}
	for _, raw := range s.ContractList {
		var c maintenance.Contract
		if err := json.Unmarshal(raw, &c); err != nil {
			return nil, decodeError("a contract", nil, err).withSource(raw)
		}
		if f := c.Validate(); f != nil {
			return nil, newFieldError("contract "+c.Name, f.Field, "%s", f.Text).withSource(raw)
		}
		items = append(items, Item{Key: Key{KindContract, c.Name}, Version: c.ConfigVersion, Body: canonicalJSON(raw)})
	}
	for _, raw := range s.NamespaceList {
		var n policy.Namespace
		if err := json.Unmarshal(raw, &n); err != nil {
			return nil, decodeError("a namespace", nil, err).withSource(raw)
		}
		if f := n.Validate(); f != nil {
			return nil, newFieldError("namespace "+n.Name, f.Field, "%s", f.Text).withSource(raw)
		}
		items = append(items, Item{Key: Key{KindNamespace, n.Name}, Version: n.ConfigVersion, Body: canonicalJSON(raw)})
	}
	for _, raw := range s.RulingList {
		var r policy.Policy
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, decodeError("a ruling", nil, err).withSource(raw)
		}
		if f := r.Validate(); f != nil {
			return nil, newFieldError("ruling "+r.Name, f.Field, "%s", f.Text).withSource(raw)
		}
		items = append(items, Item{Key: Key{KindPolicy, r.Name}, Version: r.ConfigVersion, Body: canonicalJSON(raw)})
	}
	if raw := bytes.TrimSpace(s.Limits); len(raw) > 0 && string(raw) != "null" {
		var b LimitsSpec
		if err := json.Unmarshal(raw, &b); err != nil {
			return nil, decodeError("Limits", nil, err).withSource(raw)
		}
		if err := checkTags("Limits", b); err != nil {
			return nil, err.withSource(raw)
		}
		items = append(items, Item{Key: Key{KindLimits, ""}, Version: b.ConfigVersion, Body: canonicalJSON(raw)})
	}
	return items, nil
}

// maxTargetExcessS is by how much a route's aim may pass its time limit.
const maxTargetExcessS = 60

func (r *RouteSpec) validate() *FieldError {
	at := "route " + r.Name
	if err := checkTags(at, r); err != nil {
		return err
	}
	sum := 0.0
	for _, s := range r.Destinations() {
		sum += s.Weight
	}
	switch {
	case !(sum > 0):
		return newFieldError(at, "ForwardAction.TrafficSplit", "the weights sum to %v", sum)
	case r.TargetLatencyS >= r.ForwardAction.TimeoutS+maxTargetExcessS:
		return newFieldError(at, "TargetLatencyS", "%v exceeds TimeoutS %v by a minute or more", r.TargetLatencyS, r.ForwardAction.TimeoutS)
	}
	return nil
}
