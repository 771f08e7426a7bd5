package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
)

// configurationRequest is an operator's request with two routes and their services.
const configurationRequest = `{"Upsert":{
	"ListenerList":[{"HostName":"h.example","PolicyRules":[
		{"Name":"all","RouteType":"download","ConfigVersion":1,"MatchCriteria":{"PathPrefix":"/"},
			"ForwardAction":{"Service":"s","TimeoutS":2,"RetryCount":2}},
		{"Name":"deep","RouteType":"keyed","TargetLatencyS":9,"ConfigVersion":1,"MatchCriteria":{"PathPrefix":"/a/b/"},
			"ForwardAction":{"TrafficSplit":[{"Service":"s","Weight":90},{"Service":"none","Weight":0},{"Service":"t","Weight":10}],
				"TimeoutS":2,"RetryCount":1}}]}],
	"UpstreamGroups":[{"Name":"s","ConfigVersion":1},{"Name":"t","ConfigVersion":1},{"Name":"none","ConfigVersion":1}]}}`

func newConfiguration(t *testing.T) config.Table {
	t.Helper()
	items, err := config.ParseItems([]byte(configurationRequest))
	assert.NilError(t, err)
	table, _, err := config.Table{}.ApplyItems(items)
	assert.NilError(t, err)
	return table
}

func TestMatch(t *testing.T) {
	table := NewTable(newConfiguration(t))
	for _, test := range []struct{ name, host, path, want string }{
		{"longest prefix", "h.example", "/a/b/c", "deep"},
		{"prefix without its trailing slash", "h.example", "/a/b", "all"},
		{"prefix that ends within a path segment", "h.example", "/a/bc/", "all"},
		{"root", "h.example", "/", "all"},
		{"host in upper case and with a port", "H.example:80", "/x", "all"},
		{"other host", "other.example", "/x", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			route := table.Match(test.host, test.path)
			assert.Equal(t, route != nil, test.want != "")
			if route != nil {
				assert.Equal(t, route.Name, test.want)
			}
		})
	}
}

func TestRouteOfItem(t *testing.T) {
	route := NewTable(newConfiguration(t)).Route("deep")
	assert.Equal(t, route.Kind, Keyed)
	assert.Assert(t, !route.Kind.IsIdempotent())
	assert.Equal(t, route.LatencyTarget, route.Timeout, "the latency target is at most the time-out")
}

func TestPickServiceByWeight(t *testing.T) {
	route := NewTable(newConfiguration(t)).Route("deep")
	for draw, want := range map[float64]string{0: "s", 0.89: "s", 0.91: "t", 0.9999: "t"} {
		assert.Equal(t, route.PickService(draw), want)
	}
}

func TestDeletedRouteMatchesNothing(t *testing.T) {
	key := config.Key{Kind: config.KindRoute, Name: "deep"}
	table, _ := newConfiguration(t).Merge([]config.Item{{Key: key, Version: 2, Deleted: true}})
	assert.Equal(t, NewTable(table).Match("h.example", "/a/b/c").Name, "all")
}

// Each kind converts to its route type and back, and an unknown route type to AtMostOnce.
func TestKindNames(t *testing.T) {
	for kind := AtMostOnce; kind <= Download; kind++ {
		assert.Equal(t, kindOf(kind.String()), kind)
	}
	assert.Equal(t, kindOf("unknown route type"), AtMostOnce)
}

// Guards against a route that counts twice for a service. A split that named a service in two parts gave the service two request classes of one name.
func TestSplitThatNamesServiceTwice(t *testing.T) {
	items, err := config.ParseItems([]byte(`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[
		{"Name":"r","RouteType":"keyed","ConfigVersion":1,"MatchCriteria":{"PathPrefix":"/"},"ForwardAction":{"TimeoutS":2,"RetryCount":1,
			"TrafficSplit":[{"Service":"s","Weight":50},{"Service":"t","Weight":40},{"Service":"s","Weight":10}]}}]}],
		"UpstreamGroups":[{"Name":"s","ConfigVersion":1},{"Name":"t","ConfigVersion":1}]}}`))
	assert.NilError(t, err)
	applied, _, err := config.Table{}.ApplyItems(items)
	assert.NilError(t, err)
	table := NewTable(applied)
	route := table.Route("r")
	assert.DeepEqual(t, route.Destinations, []config.WeightedService{{Service: "s", Weight: 60}, {Service: "t", Weight: 40}})
	for draw, want := range map[float64]string{0: "s", 0.59: "s", 0.61: "t", 0.9999: "t"} {
		assert.Equal(t, route.PickService(draw), want)
	}
	for _, service := range []string{"s", "t"} {
		assert.Equal(t, len(table.RoutesByService()[service]), 1, service)
	}
}
