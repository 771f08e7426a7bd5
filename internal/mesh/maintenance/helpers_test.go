package maintenance

import (
	"fmt"
	"time"
	_ "time/tzdata" // makes the time zone rules the same on every machine
)

// instant parses a time with its zone offset.
func instant(text string) time.Time {
	t, err := time.Parse("2006-01-02 15:04:05 -0700", text)
	if err != nil {
		panic(err)
	}
	return t
}

// exactTime returns time bounds whose ends are equal.
func exactTime(text string) TimeBounds {
	t := instant(text)
	return TimeBounds{t, t}
}

// hobartContract approves every night from 22:00 to 01:30 in the time zone of Hobart, except on a range of barred days.
func hobartContract() Contract {
	week := []string{"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"}
	return Contract{
		Name: "cellar", ConfigVersion: 1, TimeZone: "Australia/Hobart", Approvers: []string{"ana", "bo"},
		Weekly: []WeeklyWindow{{week, "22:00", "24:00"}, {week, "00:00", "01:30"}},
		Barred: []BarredDays{{"2026-03-01", "2026-04-15", "vintage"}},
	}
}

// parisContract approves the same hours in the time zone of Paris, for the traffic of one route.
func parisContract(route string) Contract {
	c := hobartContract()
	c.Name, c.TimeZone, c.Covers = "other", "Europe/Paris", Scope{Routes: []string{route}}
	return c
}

// testView returns four machines of service log, l0 to l3, and five control-plane members, r0 to r4, spread over two zones.
func testView() View {
	v := View{Parameters: Parameters{
		DrainTimeout: 2 * time.Second, DownloadAllowance: 10 * time.Second, WarmUp: 3 * time.Second,
		Margin: 30 * time.Second, FaultTolerance: 1,
	}}
	for i := range 4 {
		v.Machines = append(v.Machines, Machine{Addr: fmt.Sprint("l", i), Zone: fmt.Sprint("z", i%2), Service: "log", Slots: 6, Ready: true})
	}
	for i := range 5 {
		v.Machines = append(v.Machines, Machine{Addr: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%2), Ready: true, ControlPlane: true})
	}
	v.Routes = []Route{
		{Name: "weigh", Services: []string{"log"}, Timeout: time.Second},
		{Name: "export", Services: []string{"other"}, Timeout: 5 * time.Second, Download: true},
	}
	v.Contracts = []Contract{hobartContract()}
	return v
}
