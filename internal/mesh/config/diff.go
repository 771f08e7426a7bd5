package config

import (
	"fmt"
	"maps"
	"slices"
)

// Action is the effect that an update would have on an item. The values are part of the output of the operators' tool.
type Action string

// Actions. Only the first four change the table. An update with a conflict is refused as a whole.
const (
	ActionAdd          Action = "adds"
	ActionChange       Action = "changes"
	ActionRaiseVersion Action = "raises" // to a higher version with the same content
	ActionDelete       Action = "drops"
	ActionNone         Action = "leaves"    // the table has the same version and content already
	ActionOutdated     Action = "late"      // the table has a higher version
	ActionConflict     Action = "conflicts" // the table has the same version with another content
)

// ItemDiff describes what an update would do to one item.
type ItemDiff struct {
	Action Action      `json:"verb"`
	Kind   string      `json:"kind"`
	Name   string      `json:"name"`
	From   int64       `json:"from,omitempty"` // version in the table; 0 if the table has none
	To     int64       `json:"to"`
	Fields []FieldDiff `json:"fields,omitempty"`
}

// FieldDiff is a field whose value an update would change.
type FieldDiff struct {
	Path   string `json:"path"`
	Before any    `json:"was"` // nil if the field is absent in the table
	After  any    `json:"is"`  // nil if the field is absent in the update
}

// Diff returns what an update would do to a table, item by item in the order of the update.
func Diff(table Table, items []Item) (diffs []ItemDiff) {
	for _, item := range items {
		diffs = append(diffs, diffItem(table, item))
	}
	return diffs
}

func diffItem(table Table, item Item) ItemDiff {
	current, exists := table.items[item.Key]
	diff := ItemDiff{
		Kind: item.Kind.String(),
		Name: item.Name,
		From: current.Version,
		To:   item.Version,
	}
	switch {
	case exists && current.Version == item.Version && current.hasSameContent(item):
		diff.Action = ActionNone
	case exists && current.Version == item.Version:
		diff.Action = ActionConflict
		if !item.Deleted && !current.Deleted {
			diff.Fields = diffFields(current, item)
		}
	case exists && current.Version > item.Version:
		diff.Action = ActionOutdated
	case item.Deleted:
		diff.Action = ActionDelete
	case !exists || current.Deleted:
		diff.Action = ActionAdd
	default:
		diff.Action = ActionRaiseVersion
		if diff.Fields = diffFields(current, item); len(diff.Fields) > 0 {
			diff.Action = ActionChange
		}
	}
	return diff
}

// versionField is the path of the version in an item's content. Diffs omit it because it differs in every change.
const versionField = "ConfigVersion"

// diffFields returns the fields that differ between two versions of an item, ordered by path.
func diffFields(before, after Item) (diffs []FieldDiff) {
	oldLeaves, newLeaves := flatten(before), flatten(after)
	paths := map[string]bool{}
	for path := range oldLeaves {
		paths[path] = true
	}
	for path := range newLeaves {
		paths[path] = true
	}
	delete(paths, versionField)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if fmt.Sprint(oldLeaves[path]) != fmt.Sprint(newLeaves[path]) {
			diffs = append(diffs, FieldDiff{path, oldLeaves[path], newLeaves[path]})
		}
	}
	return diffs
}

// flatten returns the scalar values of an item's content, by path.
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
