package policy

func boolPointer(b bool) *bool { return &b }

// endings returns outcomes for Policy.RetryOn.
func endings(names ...string) *[]string { return &names }

// twoTeams returns a set with the namespaces dispatch and devicebook, and quota, which is nested in devicebook. The route send of
// dispatch also goes to the service book of devicebook.
func twoTeams(policies ...Policy) *Set {
	return NewSet([]Namespace{
		{Name: "dispatch", Owners: []string{"ana", "bo"}, Services: []string{"send"}, Hosts: []string{"push.example"}},
		{Name: "devicebook", Owners: []string{"cy"}, Services: []string{"book"}, Prefixes: []HostPrefix{{"push.example", "/tokens/"}}},
		{Name: "quota", Owners: []string{"di"}, Within: "devicebook", Services: []string{"quota"}},
	}, policies, []Route{
		{
			Name: "send", Host: "Push.example", Prefix: "/send/", Version: 1, Services: []string{"send", "book"},
			TimeoutS: 2, MaxAttempts: 3, Priority: 1, AtMostOnce: true,
		},
		{
			Name: "tokens", Host: "push.example", Prefix: "/tokens/all/", Version: 1, Services: []string{"book"},
			TimeoutS: 5, MaxAttempts: 2, Priority: 2,
		},
		{
			Name: "quota", Host: "other.example", Prefix: "/", Version: 1, Services: []string{"quota"},
			TimeoutS: 1, MaxAttempts: 2, Priority: 2,
		},
	})
}
