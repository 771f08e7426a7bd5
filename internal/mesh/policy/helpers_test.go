package policy

func boolPointer(b bool) *bool { return &b }

func endings(names ...string) *[]string { return &names }

// twoTeams is two teams, a part of the second, and the mesh's operator: the first's route send goes to the second's service
// book as well.
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
