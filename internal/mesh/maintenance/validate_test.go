package maintenance

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Validate reports each fault with the path of its field.
func TestContractValidateNamesTheField(t *testing.T) {
	assert.Assert(t, hobartContract().Validate() == nil, "%v", hobartContract().Validate())
	for want, change := range map[string]func(c *Contract){
		"Name is ":                                     func(c *Contract) { c.Name = "" },
		"TimeZone is \"Mars\"":                         func(c *Contract) { c.TimeZone = "Mars" },
		"TimeZone is \"Local\"":                        func(c *Contract) { c.TimeZone = "Local" },
		"Approvers is []":                              func(c *Contract) { c.Approvers = nil },
		"LeastReady is 1.5":                            func(c *Contract) { c.LeastReady = 1.5 },
		"Weekly[0].Days[0] is Monday":                  func(c *Contract) { c.Weekly[0].Days = []string{"Monday"} },
		"Weekly[0].From is \"25:00\"":                  func(c *Contract) { c.Weekly[0].From = "25:00" },
		"Weekly[0].To is \"24:30\"":                    func(c *Contract) { c.Weekly[0].To = "24:30" },
		"Weekly[0].To is the same":                     func(c *Contract) { c.Weekly[0].To = "22:00" },
		"Weekly[0].To is before":                       func(c *Contract) { c.Weekly[0].To = "02:00" },
		"Weekly[1] overlaps Weekly[0]":                 func(c *Contract) { c.Weekly[1].From, c.Weekly[1].To = "21:00", "22:01" },
		"Weekly is empty":                              func(c *Contract) { c.Weekly = nil },
		"Weekly[1].To 02:30 comes twice on 2026-04-05": func(c *Contract) { c.Weekly[1].To = "02:30" },
		"Dates[0].From is \"tomorrow\"": func(c *Contract) {
			c.Dates = []DateWindow{{"tomorrow", "2026-07-01 02:00"}}
		},
		"Dates[0].To is not after": func(c *Contract) {
			c.Dates = []DateWindow{{"2026-07-01 02:00", "2026-07-01 02:00"}}
		},
		"Dates[1] overlaps Dates[0]": func(c *Contract) {
			c.Dates = []DateWindow{{"2026-07-01 02:00", "2026-07-01 04:00"}, {"2026-07-01 03:00", "2026-07-01 05:00"}}
		},
		"Dates[0].From 2026-10-04 02:30 does not exist": func(c *Contract) {
			c.Dates = []DateWindow{{"2026-10-04 02:30", "2026-10-04 05:00"}}
		},
		"Dates[0].To 2027-04-04 02:30 comes twice": func(c *Contract) {
			c.Dates = []DateWindow{{"2027-04-04 01:00", "2027-04-04 02:30"}}
		},
		"Barred[0].To is before": func(c *Contract) { c.Barred[0].To = "2026-02-01" },
		"Barred[0].Why is ":      func(c *Contract) { c.Barred[0].Why = "" },
	} {
		t.Run(want, func(t *testing.T) {
			c := hobartContract()
			change(&c)
			fault := c.Validate()
			assert.Assert(t, fault != nil)
			text := fault.Field + " " + fault.Text
			assert.Assert(t, strings.HasPrefix(text, want), text)
		})
	}
}

// If a clock change affects both ends of a window, Validate reports From.
func TestContractValidateReportsFromBeforeTo(t *testing.T) {
	c := hobartContract()
	c.Weekly = []WeeklyWindow{{[]string{"Sun"}, "02:00", "02:30"}}
	fault := c.Validate()
	assert.Assert(t, fault != nil)
	assert.Equal(t, fault.Field, "Weekly[0].From")
}
