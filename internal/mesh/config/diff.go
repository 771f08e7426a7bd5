package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// Action is what a call would do to an item.
type Action string

// Verbs. Only the first four change anything; a call with a conflict is refused whole.
const (
	ActionAdd          Action = "adds"
	ActionChange       Action = "changes"
	ActionRaiseVersion Action = "raises" // to a higher version with the same content
	ActionDelete       Action = "drops"
	ActionNone         Action = "leaves" // the same stands already
	ActionOutdated     Action = "late"   // a higher version stands
	ActionConflict     Action = "conflicts"
)

// ItemDiff is what a call would do to one item.
type ItemDiff struct {
	Action Action      `json:"verb"`
	Kind   string      `json:"kind"`
	Name   string      `json:"name"`
	From   int64       `json:"from,omitempty"` // the version that stands
	To     int64       `json:"to"`
	Fields []FieldDiff `json:"fields,omitempty"`
}

// FieldDiff is one field that differs.
type FieldDiff struct {
	Path   string `json:"path"`
	Before any    `json:"was"` // nil: it was not there
	After  any    `json:"is"`  // nil: it is not there any more
}

// Diff tells what a call would do to a table, item by item in the call's order.
func Diff(t Table, items []Item) (l []ItemDiff) {
	for _, i := range items {
		was, is := t.items[i.Key]
		d := ItemDiff{Kind: i.Kind.String(), Name: i.Key.Name, From: was.Version, To: i.Version}
		switch {
		case is && was.Version == i.Version && was.hasSameContent(i):
			d.Action = ActionNone
		case is && was.Version == i.Version:
			d.Action = ActionConflict
		case is && was.Version > i.Version:
			d.Action = ActionOutdated
		case i.Deleted:
			d.Action = ActionDelete
		case !is || was.Deleted:
			d.Action = ActionAdd
		default:
			d.Action = ActionRaiseVersion
		}
		if d.Action == ActionRaiseVersion || d.Action == ActionConflict && !i.Deleted && !was.Deleted {
			if d.Fields = diffFields(was, i); len(d.Fields) > 0 && d.Action == ActionRaiseVersion {
				d.Action = ActionChange
			}
		}
		l = append(l, d)
	}
	return l
}

// diffFields are those in which two contents differ, but for the version, by path.
func diffFields(was, is Item) (l []FieldDiff) {
	a, b := flatten(was), flatten(is)
	paths := map[string]bool{}
	for p := range a {
		paths[p] = true
	}
	for p := range b {
		paths[p] = true
	}
	delete(paths, "ConfigVersion")
	for p := range paths {
		if fmt.Sprint(a[p]) != fmt.Sprint(b[p]) {
			l = append(l, FieldDiff{p, a[p], b[p]})
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Path < l[j].Path })
	return l
}

// flatten is a content by the paths of its leaves.
func flatten(i Item) map[string]any {
	out := map[string]any{}
	if i.Host != "" {
		out["HostName"] = i.Host
	}
	var v any
	d := json.NewDecoder(bytes.NewReader(i.Body))
	d.UseNumber()
	if d.Decode(&v) != nil {
		return out
	}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch x := v.(type) {
		case map[string]any:
			for k, y := range x {
				p := k
				if path != "" {
					p = path + "." + k
				}
				walk(p, y)
			}
		case []any:
			for n, y := range x {
				walk(fmt.Sprintf("%s[%d]", path, n), y)
			}
		default:
			out[path] = v
		}
	}
	walk("", v)
	return out
}
