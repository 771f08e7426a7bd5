package config

import (
	"time"

	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/transport/wire"
)

// ItemsToWire encodes items for the transport protocol, without the histories of their operations.
func ItemsToWire(items []Item) *wire.ItemsT {
	encoded := &wire.ItemsT{}
	for _, item := range items {
		encoded.List = append(encoded.List, &wire.ItemT{
			Kind:      byte(item.Kind),
			Name:      item.Name,
			Version:   item.Version,
			Deleted:   item.Deleted,
			Host:      item.Host,
			Body:      item.Body,
			LogTimeNs: int64(item.LogTime),
		})
	}
	return encoded
}

// ItemsFromWire decodes items.
func ItemsFromWire(encoded *wire.ItemsT) (items []Item) {
	for _, item := range encoded.List {
		items = append(items, Item{
			Key:     Key{Kind(item.Kind), item.Name},
			Version: item.Version,
			Deleted: item.Deleted,
			Host:    item.Host,
			Body:    item.Body,
			LogTime: time.Duration(item.LogTimeNs),
		})
	}
	return items
}

// UpdateToWire encodes an update for the replicated log.
func UpdateToWire(update Update) *wire.ItemsT {
	encoded := ItemsToWire(update.Items)
	encoded.Author = update.Author
	encoded.Consents = update.Consents
	return encoded
}

// UpdateFromWire decodes an update.
func UpdateFromWire(encoded *wire.ItemsT) Update {
	return Update{Items: ItemsFromWire(encoded), Author: encoded.Author, Consents: encoded.Consents}
}

// TableToStorage encodes a table, including the history of each item's operations, for storage on the disk of a control-plane member.
func TableToStorage(table Table) []*wire.ItemT {
	items := table.Items()
	encoded := ItemsToWire(items).List
	for n, item := range items {
		encoded[n].History = item.history.Encode()
	}
	return encoded
}

// TableFromStorage decodes a stored table. Items that were stored by a version of the program before histories have none. For an item
// without a history, or with one that cannot be decoded, all operations below its version are unknown.
func TableFromStorage(encoded []*wire.ItemT) Table {
	items := ItemsFromWire(&wire.ItemsT{List: encoded})
	for n, item := range encoded {
		history, err := operations.Decode(item.History)
		if err != nil {
			history = operations.IncompleteThrough(item.Version)
		}
		items[n].history = history
	}
	table, _ := Table{}.Merge(items)
	return table
}

// Versions returns the version of each item and tombstone. Processes report these versions to show which updates they have applied.
func (t Table) Versions() (versions []*wire.ItemVersionT) {
	for _, item := range t.Items() {
		versions = append(versions, &wire.ItemVersionT{
			Kind:    byte(item.Kind),
			Name:    item.Name,
			Version: item.Version,
			Deleted: item.Deleted,
		})
	}
	return versions
}
