package config

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDiff(t *testing.T) {
	table := withRequests(t, Table{}, upsertRequest(routeJSON("r", "s", 3, "")+","+routeJSON("q", "s", 3, ""), serviceJSON("s", 1)))
	slower := func(version int) string {
		return upsertRequest(strings.Replace(routeJSON("r", "s", version, ""), `"TimeoutS":2`, `"TimeoutS":5`, 1), "")
	}
	const timeoutField = "ForwardAction.TimeoutS"
	for _, test := range []struct {
		name, request string
		want          ItemDiff
		fields        []string
	}{
		{"same version and content", routeRequest("r", "s", 3), ItemDiff{Action: "leaves", Name: "r", From: 3, To: 3}, nil},
		{"lower version", routeRequest("r", "s", 2), ItemDiff{Action: "late", Name: "r", From: 3, To: 2}, nil},
		{"higher version, same content", routeRequest("r", "s", 4), ItemDiff{Action: "raises", Name: "r", From: 3, To: 4}, nil},
		{"new item", routeRequest("new", "s", 1), ItemDiff{Action: "adds", Name: "new", From: 0, To: 1}, nil},
		{"same version, another content", slower(3), ItemDiff{Action: "conflicts", Name: "r", From: 3, To: 3}, []string{timeoutField}},
		{"higher version, another content", slower(4), ItemDiff{Action: "changes", Name: "r", From: 3, To: 4}, []string{timeoutField}},
		{"removal", removeRequest("RouteTable", "q", 9), ItemDiff{Action: "drops", Name: "q", From: 3, To: 9}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			diffs := Diff(table, parse(t, test.request))
			assert.Equal(t, len(diffs), 1)
			got := diffs[0]
			for n, field := range got.Fields {
				assert.Equal(t, field.Path, test.fields[n])
				assert.Equal(t, fmt.Sprint(field.Before, " ", field.After), "2 5")
			}
			assert.Equal(t, len(got.Fields), len(test.fields))
			got.Fields, test.want.Kind = nil, "route"
			assert.DeepEqual(t, got, test.want)
		})
	}
}
