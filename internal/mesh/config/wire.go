package config

import (
	"time"

	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/transport/wire"
)

// ItemsToWire words items for the trunk, and ItemsOf reads them.
func ItemsToWire(l []Item) *wire.ItemsT {
	t := &wire.ItemsT{}
	for _, i := range l {
		t.List = append(t.List, &wire.ItemT{Kind: byte(i.Kind), Name: i.Key.Name, Version: i.Version, Deleted: i.Deleted, Host: i.Host, Body: i.Body, LogTimeNs: int64(i.LogTime)})
	}
	return t
}

// UpdateToWire words a call for the log, and CallOf reads it.
func UpdateToWire(c Update) *wire.ItemsT {
	t := ItemsToWire(c.Items)
	t.Author, t.Consents = c.Author, c.Consents
	return t
}

// UpdateFromWire reads a call.
func UpdateFromWire(t *wire.ItemsT) Update { return Update{ItemsFromWire(t), t.Author, t.Consents} }

// ItemsFromWire reads items.
func ItemsFromWire(t *wire.ItemsT) (l []Item) {
	for _, i := range t.List {
		l = append(l, Item{Key: Key{Kind: Kind(i.Kind), Name: i.Name}, Version: i.Version, Deleted: i.Deleted, Host: i.Host, Body: i.Body,
			LogTime: time.Duration(i.LogTimeNs)})
	}
	return l
}

// TableToStorage words a table for a register's disk, with the history of each item; Restore reads it.
func TableToStorage(t Table) []*wire.ItemT {
	items := t.Items()
	list := ItemsToWire(items).List
	for n, i := range items {
		list[n].History = i.history.Encode()
	}
	return list
}

// TableFromStorage reads a stored table. Of an item that was stored without a history, by an earlier build or with one that can't be
// read, nothing is known of the versions before the one that stands.
func TableFromStorage(list []*wire.ItemT) Table {
	items := ItemsFromWire(&wire.ItemsT{List: list})
	for n, stored := range list {
		history, err := operations.Decode(stored.History)
		if err != nil {
			history = operations.IncompleteThrough(stored.Version)
		}
		items[n].history = history
	}
	t, _ := Table{}.Merge(items)
	return t
}

// Versions are the versions of all, for whoever asks how far a process is.
func (t Table) Versions() (l []*wire.ItemVersionT) {
	for _, i := range t.Items() {
		l = append(l, &wire.ItemVersionT{Kind: byte(i.Kind), Name: i.Key.Name, Version: i.Version, Deleted: i.Deleted})
	}
	return l
}
