package config

import (
	"bytes"
	"strconv"
	"strings"
)

// ModifyRequest is the JSON body of an operator's request to change the configuration.
type ModifyRequest struct {
	Upsert *Document `json:"Upsert"`
	Remove *Removals `json:"Remove,omitempty"`
	// By is the owner on whose behalf the request is made; it is empty for the operator of the mesh. Consents names, in the form
	// namespace:owner, the other owners who consent to the policies that the request loosens. Neither is authenticated.
	By       string   `json:"By,omitempty" validate:"max=128"`
	Consents []string `json:"Consents,omitempty" validate:"max=64,dive,max=257"`
}

// Removals lists the items that a request deletes, by kind.
type Removals struct {
	RouteTable     []Removal `json:"RouteTable"`
	ServiceTable   []Removal `json:"ServiceTable"`
	UpstreamGroups []Removal `json:"UpstreamGroups"` // also services
	ContractTable  []Removal `json:"ContractTable"`
	NamespaceTable []Removal `json:"NamespaceTable"`
	RulingTable    []Removal `json:"RulingTable"`
}

// Removal names an item to delete. It takes effect if its version is higher than that of the item.
type Removal struct {
	Name          string `json:"Name" validate:"required,max=512"`
	ConfigVersion int64  `json:"ConfigVersion"`
}

// ParseItems parses a request and returns its items. The error is a *FieldError.
func ParseItems(text []byte) ([]Item, error) {
	update, err := ParseUpdate(text)
	return update.Items, err
}

// ParseUpdate parses a request and performs the checks that do not depend on the current configuration. The error is a *FieldError.
func ParseUpdate(text []byte) (Update, error) {
	var request ModifyRequest
	items, err := request.parse(text)
	if err != nil {
		if err.Line == 0 && bytes.IndexByte(text, '\n') >= 0 {
			err.setLine(text)
		}
		return Update{}, err
	}
	return Update{Items: items, Author: request.By, Consents: request.Consents}, nil
}

func (m *ModifyRequest) parse(text []byte) ([]Item, *FieldError) {
	if err := decodeJSON(text, m); err != nil {
		fieldError := decodeError(requestLabel, text, err)
		if fieldError.Field == "" {
			fieldError.Reason = "can't be read whole: " + err.Error()
		}
		return nil, fieldError
	}
	if m.Upsert == nil && m.Remove == nil {
		return nil, newFieldError(requestLabel, "", "holds no items")
	}
	// Only the request's own fields are checked here. The fields of the items are checked below, where errors can name the item.
	if err := checkTags(requestLabel, *m); err != nil && (err.Field == "By" || strings.HasPrefix(err.Field, "Consents")) {
		return nil, err
	}
	var items []Item
	if m.Upsert != nil {
		upserted, err := m.Upsert.items()
		if err != nil {
			return nil, err
		}
		items = upserted
	}
	if m.Remove != nil {
		removed, err := m.Remove.items()
		if err != nil {
			return nil, err
		}
		items = append(items, removed...)
	}
	return deduplicate(items)
}

// items returns a tombstone for each item to delete.
func (r *Removals) items() (items []Item, err *FieldError) {
	for _, list := range []struct {
		kind     Kind
		removals []Removal
	}{
		{KindRoute, r.RouteTable},
		{KindService, r.ServiceTable},
		{KindService, r.UpstreamGroups},
		{KindContract, r.ContractTable},
		{KindNamespace, r.NamespaceTable},
		{KindPolicy, r.RulingTable},
	} {
		for _, removal := range list.removals {
			key := Key{list.kind, removal.Name}
			if err := checkTags("Remove: "+key.label(), removal); err != nil {
				return nil, err.withSource([]byte(strconv.Quote(removal.Name)))
			}
			items = append(items, Item{Key: key, Version: removal.ConfigVersion, Deleted: true})
		}
	}
	return items, nil
}

// deduplicate returns the items with each key once, in its highest version. Two contents for one version are an error.
func deduplicate(items []Item) ([]Item, *FieldError) {
	position := map[Key]int{}
	var unique []Item
	for _, item := range items {
		n, seen := position[item.Key]
		switch {
		case !seen:
			position[item.Key] = len(unique)
			unique = append(unique, item)
		case unique[n].Version == item.Version && !unique[n].hasSameContent(item):
			return nil, newFieldError(item.label(), "", "stands in the call twice, with one version and two contents")
		case unique[n].Version < item.Version:
			unique[n] = item
		}
	}
	return unique, nil
}
