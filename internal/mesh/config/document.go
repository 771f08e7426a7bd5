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

// Document is the JSON representation of the configuration. Requests contain one to upsert items, and reads return one.
type Document struct {
	Limits         json.RawMessage   `json:"Limits,omitempty"`
	ListenerList   []Listener        `json:"ListenerList"`
	UpstreamGroups []json.RawMessage `json:"UpstreamGroups"`          // services
	ContractList   []json.RawMessage `json:"ContractList,omitempty"`  // without contracts, no hours are approved for maintenance
	NamespaceList  []json.RawMessage `json:"NamespaceList,omitempty"` // without namespaces, the mesh operator owns everything
	RulingList     []json.RawMessage `json:"RulingList,omitempty"`    // policies
}

// Listener is a host and the routes for requests to it.
type Listener struct {
	HostName    string            `json:"HostName"`
	PolicyRules []json.RawMessage `json:"PolicyRules"`
}

// Document returns the JSON representation of all items of the table that are not deleted.
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
		default: // routes, and kinds that were added in a later version of the program
			listener := document.listenerFor(item.Host)
			listener.PolicyRules = append(listener.PolicyRules, item.Body)
		}
	}
	return document
}

// listenerFor returns the listener of a host, and adds one if the document has none.
func (d *Document) listenerFor(host string) *Listener {
	n := slices.IndexFunc(d.ListenerList, func(listener Listener) bool { return listener.HostName == host })
	if n < 0 {
		n = len(d.ListenerList)
		d.ListenerList = append(d.ListenerList, Listener{HostName: host})
	}
	return &d.ListenerList[n]
}

// items decodes and validates all items of the document.
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

// appendItems decodes, validates and appends items of one kind. Errors use fallbackLabel for an item whose name is not decoded yet.
func appendItems[Spec any](items []Item, rawItems []json.RawMessage, fallbackLabel string, check checkFunc[Spec]) ([]Item, *FieldError) {
	for _, raw := range rawItems {
		item, _, err := decodeItem(raw, fallbackLabel, check)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

// checkFunc validates the content of an item and returns its key and version.
type checkFunc[Spec any] func(*Spec) (Key, int64, *FieldError)

// decodeItem decodes and validates one item. Errors use fallbackLabel for an item whose name is not decoded yet.
func decodeItem[Spec any](raw json.RawMessage, fallbackLabel string, check checkFunc[Spec]) (Item, *Spec, *FieldError) {
	spec := new(Spec)
	if err := json.Unmarshal(raw, spec); err != nil {
		return Item{}, nil, decodeError(fallbackLabel, nil, err).withSource(raw)
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

// limitsLabel is the label of the limits item in messages, as this item has no name.
const limitsLabel = "Limits"

func checkLimits(spec *LimitsSpec) (Key, int64, *FieldError) {
	return Key{Kind: KindLimits}, spec.ConfigVersion, checkTags(limitsLabel, spec)
}

// decodeJSON decodes one JSON value and returns an error if more data follows it. Numbers are decoded as json.Number to keep their
// precision.
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

// canonicalJSON returns a JSON value with sorted keys and without white space, so that equal values have equal bytes. A value that
// cannot be decoded is returned unchanged.
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
