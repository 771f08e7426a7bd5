package patch

import (
	"time"

	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/mesh/operations"
)

// Wire words items for the trunk, and ItemsOf reads them.
func Wire(l []Item) *wire.ItemsT {
	t := &wire.ItemsT{}
	for _, i := range l {
		t.List = append(t.List, &wire.ItemT{Kind: byte(i.Kind), Name: i.Name.Name, Version: i.Version, Dropped: i.Dropped, Host: i.Host, Body: i.Body, Stamp: int64(i.Stamp)})
	}
	return t
}

// WireCall words a call for the log, and CallOf reads it.
func WireCall(c Call) *wire.ItemsT {
	t := Wire(c.Items)
	t.By, t.Consents = c.By, c.Consents
	return t
}

// CallOf reads a call.
func CallOf(t *wire.ItemsT) Call { return Call{ItemsOf(t), t.By, t.Consents} }

// ItemsOf reads items.
func ItemsOf(t *wire.ItemsT) (l []Item) {
	for _, i := range t.List {
		l = append(l, Item{Name: Name{Kind: Kind(i.Kind), Name: i.Name}, Version: i.Version, Dropped: i.Dropped, Host: i.Host, Body: i.Body,
			Stamp: time.Duration(i.Stamp)})
	}
	return l
}

// Stored words a table for a register's disk, with the history of each item; Restore reads it.
func Stored(t Table) []*wire.ItemT {
	items := t.Items()
	list := Wire(items).List
	for n, i := range items {
		list[n].Past = i.history.Encode()
	}
	return list
}

// Restore reads a stored table. Of an item that was stored without a history, by an earlier build or with one that can't be
// read, nothing is known of the versions before the one that stands.
func Restore(list []*wire.ItemT) Table {
	items := ItemsOf(&wire.ItemsT{List: list})
	for n, stored := range list {
		history, err := operations.Decode(stored.Past)
		if err != nil {
			history = operations.Lost(stored.Version)
		}
		items[n].history = history
	}
	t, _ := Table{}.Merge(items)
	return t
}

// Holds are the versions of all, for whoever asks how far a process is.
func (t Table) Holds() (l []*wire.HoldsT) {
	for _, i := range t.Items() {
		l = append(l, &wire.HoldsT{Kind: byte(i.Kind), Name: i.Name.Name, Version: i.Version, Dropped: i.Dropped})
	}
	return l
}
