package policy

import (
	"testing"

	"cranegrade/internal/testkit/goldenrecord"
)

// The JSON of each type that is stored in replicated state, sent in operators' calls or set as a configuration item is
// fixed, whatever the fields are called in Go.
func TestJSONEncoding(t *testing.T) {
	again, ratio, priority, endings := true, 0.5, 2, []string{"refused"}
	namespace := Namespace{
		Name: "quota", ConfigVersion: 2, Owners: []string{"di"}, Within: "devicebook", Services: []string{"quota"}, Hosts: []string{"h"},
		Prefixes: []HostPrefix{{"push.example", "/tokens/"}},
	}
	policy := Policy{
		Name: "calm", ConfigVersion: 4, Namespace: "quota", On: Selector{[]string{"r"}, []string{"s"}, []string{"c"}},
		Tries: 2, KeyedAgain: &again, RetryOn: &endings, TimeoutS: 1.5, NeedsS: 0.5, RetryRatio: &ratio, Priority: &priority,
		Callers: CallerRules{[]string{"a"}, []string{"d"}, []string{"n"}},
	}
	source := Source{Namespace: "quota", Item: "ruling calm", Version: 4, Role: RoleServiceOwner}
	const sourceText = `{"namespace":"quota","item":"ruling calm","version":4,"role":"service"}`
	effective := EffectiveClause{
		Clause:     Clause{Field: FieldTimeout, Number: 1.5, Source: source},
		Overridden: []Clause{{Field: FieldAllowedCallers, Values: []string{"a"}, Source: source}},
	}
	const effectiveText = `{"field":"TimeoutS","num":1.5,"from":` + sourceText +
		`,"over":[{"field":"Callers.Allow","set":["a"],"from":` + sourceText + `}]}`
	explanation := Explanation{
		Route: "r", Host: "h", Prefix: "/", Owner: "quota", Service: "s", ServiceOwner: MeshNamespace, Caller: "c", CallerOwner: "quota",
		Fingerprint: "0a", DeniedBy: &source, Fields: []EffectiveClause{effective},
	}
	for _, x := range []struct {
		name string
		v    any
		want string
	}{
		{"namespace", namespace, `{"Name":"quota","ConfigVersion":2,"Owners":["di"],"Within":"devicebook","Services":["quota"],"Hosts":["h"],` +
			`"Prefixes":[{"Host":"push.example","PathPrefix":"/tokens/"}]}`},
		{"empty namespace", Namespace{}, `{"Name":"","ConfigVersion":0,"Owners":null}`},
		{"policy", policy, `{"Name":"calm","ConfigVersion":4,"Namespace":"quota",` +
			`"On":{"Routes":["r"],"Services":["s"],"Callers":["c"]},"Tries":2,"KeyedAgain":true,` +
			`"RetryOn":["refused"],"TimeoutS":1.5,"NeedsS":0.5,"RetryRatio":0.5,"Priority":2,"Callers":{"Allow":["a"],"Deny":["d"],"Need":["n"]}}`},
		{"empty policy", Policy{}, `{"Name":"","ConfigVersion":0,"Namespace":"","On":{}}`},
		{"effective clause", effective, effectiveText},
		{
			"effect",
			Effect{
				Route: "r", Service: "s", Field: FieldTimeout, Before: "-", After: "1.5",
				Loosens: true, Source: source, Owners: []string{"quota"},
			},
			`{"route":"r","service":"s","field":"TimeoutS","was":"-","is":"1.5","loosens":true,"from":` + sourceText + `,"owners":["quota"]}`,
		},
		{
			"explanation", explanation,
			`{"route":"r","host":"h","prefix":"/","owner":"quota","service":"s","serviceOwner":"mesh","caller":"c","callerOwner":"quota",` +
				`"print":"0a","denied":` + sourceText + `,"fields":[` + effectiveText + `]}`,
		},
		{"explanation for any caller", Explanation{}, `{"route":"","host":"","prefix":"","owner":"","service":"","serviceOwner":"",` +
			`"print":"","fields":null}`},
		{
			"report",
			Report{[]Overlap{{"r", "s", []string{"quota"}, []string{"ruling calm"}, "0a"}}, []string{"calm"}},
			`{"meetings":[{"route":"r","service":"s","namespaces":["quota"],"rulings":["ruling calm"],"print":"0a"}],"idle":["calm"]}`,
		},
		{"rollout", Rollout{"s2", "s1", 9, 4}, `{"held":"s2","bound":"s1","heldAt":9,"boundAt":4}`},
		{"fields", AllFields, `["Tries","KeyedAgain","RetryOn","TimeoutS","NeedsS","RetryRatio","Priority",` +
			`"Callers.Allow","Callers.Deny","Callers.Need"]`},
		{"roles", []Role{RoleItem, RoleMesh, RoleRouteOwner, RoleServiceOwner, RoleCallerOwner}, `["item","mesh","route","service","caller"]`},
	} {
		t.Run(x.name, func(t *testing.T) { goldenrecord.AssertJSON(t, x.v, x.want) })
	}
}
