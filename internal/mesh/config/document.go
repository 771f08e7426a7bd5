package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/policy"
)

// Document is the configuration as the pages lay it out in JSON. It is what a request upserts, and what a read returns.
type Document struct {
	Limits         json.RawMessage   `json:"Limits,omitempty"`
	ListenerList   []Listener        `json:"ListenerList"`
	UpstreamGroups []json.RawMessage `json:"UpstreamGroups"`          // services
	ContractList   []json.RawMessage `json:"ContractList,omitempty"`  // without any, no hours are approved for maintenance
	NamespaceList  []json.RawMessage `json:"NamespaceList,omitempty"` // without any, everything is the mesh operator's
	RulingList     []json.RawMessage `json:"RulingList,omitempty"`    // policies
}

// Listener is a host and the routes of its requests.
type Listener struct {
	HostName    string            `json:"HostName"`
	PolicyRules []json.RawMessage `json:"PolicyRules"`
}

// Document lays out the items of a table that are not deleted.
func (t Table) Document() Document {
	document := Document{ListenerList: []Listener{}, UpstreamGroups: []json.RawMessage{}}
	for _, item := range t.Items() {
		if item.Deleted {
			continue
		}
		switch item.Kind {
		case KindLimits:
			document.Limits = item.Body
		case KindService:
			document.UpstreamGroups = append(document.UpstreamGroups, item.Body)
		case KindContract:
			document.ContractList = append(document.ContractList, item.Body)
		case KindNamespace:
			document.NamespaceList = append(document.NamespaceList, item.Body)
		case KindPolicy:
			document.RulingList = append(document.RulingList, item.Body)
		default: // routes, and kinds that a later build has added
			listener := document.listener(item.Host)
			listener.PolicyRules = append(listener.PolicyRules, item.Body)
		}
	}
	return document
}

// listener returns the listener of a host, which it adds if there is none.
func (d *Document) listener(host string) *Listener {
	n := slices.IndexFunc(d.ListenerList, func(listener Listener) bool { return listener.HostName == host })
	if n < 0 {
		n = len(d.ListenerList)
		d.ListenerList = append(d.ListenerList, Listener{HostName: host})
	}
	return &d.ListenerList[n]
}

// items decodes and validates all items of a document.
func (d *Document) items() (items []Item, err *FieldError) {
	if items, err = d.routes(); err != nil {
		return nil, err
	}
	if items, err = appendItems(items, d.UpstreamGroups, "a service", checkService); err != nil {
		return nil, err
	}
	if items, err = appendItems(items, d.ContractList, "a contract", checkContract); err != nil {
		return nil, err
	}
	if items, err = appendItems(items, d.NamespaceList, "a namespace", checkNamespace); err != nil {
		return nil, err
	}
	if items, err = appendItems(items, d.RulingList, "a ruling", checkPolicy); err != nil {
		return nil, err
	}
	if limits := bytes.TrimSpace(d.Limits); len(limits) > 0 && string(limits) != "null" {
		return appendItems(items, []json.RawMessage{limits}, limitsLabel, checkLimits)
	}
	return items, nil
}

func (d *Document) routes() (items []Item, err *FieldError) {
	for n, listener := range d.ListenerList {
		if listener.HostName == "" {
			return nil, newFieldError(fmt.Sprintf("ListenerList[%d]", n), "HostName", "HostName is empty").withSource([]byte(`"HostName"`))
		}
		for _, raw := range listener.PolicyRules {
			item, spec, err := decodeItem(raw, "a rule of host "+listener.HostName, checkRoute)
			if err != nil {
				return nil, err
			}
			item.Host = listener.HostName
			item.routeSpec = spec
			items = append(items, item)
		}
	}
	return items, nil
}

// appendItems appends items of one kind.
func appendItems[Spec any](items []Item, raws []json.RawMessage, unnamed string, check checkFunc[Spec]) ([]Item, *FieldError) {
	for _, raw := range raws {
		item, _, err := decodeItem(raw, unnamed, check)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

// checkFunc validates the content of an item and returns what identifies the item.
type checkFunc[Spec any] func(*Spec) (Key, int64, *FieldError)

// decodeItem decodes and validates one item. unnamed is what errors call it as long as its name is not known.
func decodeItem[Spec any](raw json.RawMessage, unnamed string, check checkFunc[Spec]) (Item, *Spec, *FieldError) {
	spec := new(Spec)
	if err := json.Unmarshal(raw, spec); err != nil {
		return Item{}, nil, decodeError(unnamed, nil, err).withSource(raw)
	}
	key, version, err := check(spec)
	if err != nil {
		return Item{}, nil, err.withSource(raw)
	}
	return Item{Key: key, Version: version, Body: canonicalJSON(raw)}, spec, nil
}

func checkRoute(spec *RouteSpec) (Key, int64, *FieldError) {
	return Key{KindRoute, spec.Name}, spec.ConfigVersion, spec.validate()
}

func checkService(spec *ServiceSpec) (Key, int64, *FieldError) {
	key := Key{KindService, spec.Name}
	return key, spec.ConfigVersion, checkTags(key.label(), spec)
}

func checkContract(contract *maintenance.Contract) (Key, int64, *FieldError) {
	key := Key{KindContract, contract.Name}
	return key, contract.ConfigVersion, fieldErrorOf(key.label(), contract.Validate())
}

func checkNamespace(namespace *policy.Namespace) (Key, int64, *FieldError) {
	key := Key{KindNamespace, namespace.Name}
	return key, namespace.ConfigVersion, fieldErrorOf(key.label(), namespace.Validate())
}

func checkPolicy(spec *policy.Policy) (Key, int64, *FieldError) {
	key := Key{KindPolicy, spec.Name}
	return key, spec.ConfigVersion, fieldErrorOf(key.label(), spec.Validate())
}

// limitsLabel names the item of limits, which has no name of its own, in messages.
const limitsLabel = "Limits"

func checkLimits(spec *LimitsSpec) (Key, int64, *FieldError) {
	return Key{Kind: KindLimits}, spec.ConfigVersion, checkTags(limitsLabel, spec)
}

// decodeJSON decodes one JSON value and refuses text behind it. Numbers keep their digits.
func decodeJSON(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("data after the end of the document")
	}
	return nil
}

// canonicalJSON returns equal bytes for equal contents: keys in order, without white space.
func canonicalJSON(raw json.RawMessage) []byte {
	var value any
	if decodeJSON(raw, &value) != nil {
		return raw
	}
	canonical, err := json.Marshal(value)
	if err != nil {
		return raw
	}
	return canonical
}
