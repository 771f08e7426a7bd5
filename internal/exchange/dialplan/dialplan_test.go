package dialplan

import (
	"testing"

	"gotest.tools/v3/assert"

	"hollyspur/internal/exchange/patch"
)

func TestFind(t *testing.T) {
	items, err := patch.Read([]byte(`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[
		{"Name":"all","RouteType":"download","ConfigVersion":1,"MatchCriteria":{"PathPrefix":"/"},"ForwardAction":{"Service":"s","TimeoutS":2,"RetryCount":2}},
		{"Name":"deep","RouteType":"keyed","TargetLatencyS":9,"ConfigVersion":1,"MatchCriteria":{"PathPrefix":"/a/b/"},"ForwardAction":{"TrafficSplit":[{"Service":"s","Weight":90},{"Service":"none","Weight":0},{"Service":"t","Weight":10}],"TimeoutS":2,"RetryCount":1}}]}],
		"UpstreamGroups":[{"Name":"s","ConfigVersion":1},{"Name":"t","ConfigVersion":1},{"Name":"none","ConfigVersion":1}]}}`))
	assert.NilError(t, err)
	table, _, err := patch.Table{}.Apply(items)
	assert.NilError(t, err)
	p := Make(table)
	for path, want := range map[string]string{"/a/b/c": "deep", "/a/b": "all", "/a/bc/": "all", "/": "all"} {
		assert.Equal(t, p.Find("h.example", path).Name, want, path)
	}
	assert.Assert(t, p.Find("H.example:80", "/x") != nil)
	assert.Assert(t, p.Find("other.example", "/x") == nil)
	deep := p.Named("deep")
	assert.Assert(t, deep.Kind == Keyed && !deep.Kind.Repeatable() && deep.Aim == deep.Timeout)
	for draw, want := range map[float64]string{0: "s", 0.89: "s", 0.91: "t", 0.9999: "t"} {
		assert.Equal(t, deep.Service(draw), want)
	}
	table, _ = table.Merge([]patch.Item{{Name: patch.Name{Kind: patch.Route, Name: "deep"}, Version: 2, Dropped: true}})
	assert.Equal(t, Make(table).Find("h.example", "/a/b/c").Name, "all")
}
