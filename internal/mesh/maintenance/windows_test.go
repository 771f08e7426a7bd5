package maintenance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Windows follow the local time of the contract's time zone, also on days on which its clocks change.
func TestContractWindows(t *testing.T) {
	for _, x := range []struct {
		name, from, to string
		want           string
	}{
		{"over midnight", "2026-06-01 11:00:00 +0000", "2026-06-01 18:00:00 +0000", "06-01 12:00-06-01 15:30 "},
		{"barred days", "2026-03-01 00:00:00 +0000", "2026-04-14 00:00:00 +0000", ""},
		{
			"clocks go forward from 02:00 to 03:00", "2026-10-03 00:00:00 +0000", "2026-10-05 00:00:00 +0000",
			"10-03 12:00-10-03 15:30 10-04 11:00-10-04 14:30 ",
		},
		{
			"clocks go back from 03:00 to 02:00", "2027-04-03 00:00:00 +0000", "2027-04-05 00:00:00 +0000",
			"04-03 11:00-04-03 14:30 04-04 12:00-04-04 15:30 ",
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			approved, _ := hobartContract().Windows(Interval{instant(x.from), instant(x.to)})
			var got string
			for _, i := range approved {
				got += i.From.UTC().Format("01-02 15:04") + "-" + i.To.UTC().Format("01-02 15:04") + " "
			}
			assert.Equal(t, got, x.want)
		})
	}
}
