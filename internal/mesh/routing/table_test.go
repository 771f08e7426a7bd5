package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
)

func TestFind(t *testing.T) {
	items, err := config.ParseItems([]byte(`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[
		{"Name":"all","RouteType":"download","ConfigVersion":1,"MatchCriteria":{"PathPrefix":"/"},"ForwardAction":{"Service":"s","TimeoutS":2,"RetryCount":2}},
		{"Name":"deep","RouteType":"keyed","TargetLatencyS":9,"ConfigVersion":1,"MatchCriteria":{"PathPrefix":"/a/b/"},"ForwardAction":{"TrafficSplit":[{"Service":"s","Weight":90},{"Service":"none","Weight":0},{"Service":"t","Weight":10}],"TimeoutS":2,"RetryCount":1}}]}],
		"UpstreamGroups":[{"Name":"s","ConfigVersion":1},{"Name":"t","ConfigVersion":1},{"Name":"none","ConfigVersion":1}]}}`))
	assert.NilError(t, err)
	table, _, err := config.Table{}.ApplyItems(items)
	assert.NilError(t, err)
	p := NewTable(table)
	for path, want := range map[string]string{"/a/b/c": "deep", "/a/b": "all", "/a/bc/": "all", "/": "all"} {
		assert.Equal(t, p.Match("h.example", path).Name, want, path)
	}
	assert.Assert(t, p.Match("H.example:80", "/x") != nil)
	assert.Assert(t, p.Match("other.example", "/x") == nil)
	deep := p.Route("deep")
	assert.Assert(t, deep.Kind == Keyed && !deep.Kind.IsIdempotent() && deep.LatencyTarget == deep.Timeout)
	for draw, want := range map[float64]string{0: "s", 0.89: "s", 0.91: "t", 0.9999: "t"} {
		assert.Equal(t, deep.PickService(draw), want)
	}
	table, _ = table.Merge([]config.Item{{Key: config.Key{Kind: config.KindRoute, Name: "deep"}, Version: 2, Deleted: true}})
	assert.Equal(t, NewTable(table).Match("h.example", "/a/b/c").Name, "all")
}
