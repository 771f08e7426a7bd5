package config

import (
	"fmt"
	"maps"
	"slices"
)

// Action is what an update would do to an item. The values are part of the output of the operators' tool.
type Action string

// Actions. Only the first four change anything. An update with a conflict is refused as a whole.
const (
	ActionAdd          Action = "adds"
	ActionChange       Action = "changes"
	ActionRaiseVersion Action = "raises" // to a higher version with the same content
	ActionDelete       Action = "drops"
	ActionNone         Action = "leaves" // the item is the same already
	ActionOutdated     Action = "late"   // a higher version is in the table
	ActionConflict     Action = "conflicts"
)

// ItemDiff is what an update would do to one item.
type ItemDiff struct {
	Action Action      `json:"verb"`
	Kind   string      `json:"kind"`
	Name   string      `json:"name"`
	From   int64       `json:"from,omitempty"` // version in the table; 0 if it has none
	To     int64       `json:"to"`
	Fields []FieldDiff `json:"fields,omitempty"`
}

// FieldDiff is a field whose value differs.
type FieldDiff struct {
	Path   string `json:"path"`
	Before any    `json:"was"` // nil if the field was absent
	After  any    `json:"is"`  // nil if the field is absent now
}

// Diff returns what an update would do to a table, item by item in the order of the update.
func Diff(table Table, items []Item) (diffs []ItemDiff) {
	for _, item := range items {
		diffs = append(diffs, diffItem(table, item))
	}
	return diffs
}

func diffItem(table Table, item Item) ItemDiff {
	current, known := table.items[item.Key]
	diff := ItemDiff{
		Kind: item.Kind.String(),
		Name: item.Name,
		From: current.Version,
		To:   item.Version,
	}
	switch {
	case known && current.Version == item.Version && current.hasSameContent(item):
		diff.Action = ActionNone
	case known && current.Version == item.Version:
		diff.Action = ActionConflict
		if !item.Deleted && !current.Deleted {
			diff.Fields = diffFields(current, item)
		}
	case known && current.Version > item.Version:
		diff.Action = ActionOutdated
	case item.Deleted:
		diff.Action = ActionDelete
	case !known || current.Deleted:
		diff.Action = ActionAdd
	default:
		diff.Action = ActionRaiseVersion
		if diff.Fields = diffFields(current, item); len(diff.Fields) > 0 {
			diff.Action = ActionChange
		}
	}
	return diff
}

// versionField is the path of the version in an item's content. It differs with every change and is left out of a diff.
const versionField = "ConfigVersion"

// diffFields returns the fields in which two contents differ, ordered by path.
func diffFields(before, after Item) (diffs []FieldDiff) {
	old, changed := flatten(before), flatten(after)
	paths := map[string]bool{}
	for path := range old {
		paths[path] = true
	}
	for path := range changed {
		paths[path] = true
	}
	delete(paths, versionField)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if fmt.Sprint(old[path]) != fmt.Sprint(changed[path]) {
			diffs = append(diffs, FieldDiff{path, old[path], changed[path]})
		}
	}
	return diffs
}

// flatten returns the leaves of an item's content by their paths.
func flatten(item Item) map[string]any {
	leaves := map[string]any{}
	if item.Host != "" {
		leaves["HostName"] = item.Host
	}
	var content any
	if decodeJSON(item.Body, &content) == nil {
		flattenInto(leaves, "", content)
	}
	return leaves
}

func flattenInto(leaves map[string]any, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, member := range value {
			memberPath := name
			if path != "" {
				memberPath = path + "." + name
			}
			flattenInto(leaves, memberPath, member)
		}
	case []any:
		for n, element := range value {
			flattenInto(leaves, fmt.Sprintf("%s[%d]", path, n), element)
		}
	default:
		leaves[path] = value
	}
}
