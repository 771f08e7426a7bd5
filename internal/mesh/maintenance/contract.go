package maintenance

import "time"

// Contract approves hours for the machines that its traffic runs over. It is a configuration item: its fields are named there
// as here.
type Contract struct {
	Name          string `json:"Name" validate:"required,max=512"`
	ConfigVersion int64  `json:"ConfigVersion"`
	Covers        Scope  `json:"Covers"`
	TimeZone      string `json:"TimeZone" validate:"required,max=64"` // as the IANA's database names it
	// Weekly are hours of every week, Dates single windows, both by the contract's own clock. Together they are what is
	// approved, except on the days that are barred.
	Weekly []WeeklyWindow `json:"Weekly" validate:"max=64,dive"`
	Dates  []DateWindow   `json:"Dates" validate:"max=256,dive"`
	Barred []BarredDays   `json:"Barred" validate:"max=256,dive"`
	// MostOut bounds how many machines are in maintenance at once.
	MostOut OutLimits `json:"MostOut"`
	// LeastReady is the share of a service's slots that must stay ready, from 0 to 1.
	LeastReady float64  `json:"LeastReady" validate:"gte=0,lte=1"`
	Approvers  []string `json:"Approvers" validate:"min=1,max=64,dive,required,max=128"`
}

// Scope says whose traffic a contract is about: that of any of these services, into any of these zones, on any of these
// routes, or to any service of these namespaces and of those nested in them. An empty scope is all traffic.
type Scope struct {
	Services   []string `json:"Services" validate:"max=256"`
	Zones      []string `json:"Zones" validate:"max=256"`
	Routes     []string `json:"Routes" validate:"max=1024"`
	Namespaces []string `json:"Namespaces,omitempty" validate:"max=256"`
}

func (s Scope) isEmpty() bool {
	return len(s.Services)+len(s.Zones)+len(s.Routes)+len(s.Namespaces) == 0
}

// WeeklyWindow is a window on some days of the week, as 22:00 to 23:30. To may be 24:00; a window over midnight is written as
// two.
type WeeklyWindow struct {
	Days []string `json:"Days" validate:"min=1,max=7,dive,oneof=Mon Tue Wed Thu Fri Sat Sun"`
	From string   `json:"From" validate:"required"`
	To   string   `json:"To" validate:"required"`
}

// DateWindow is a window from one minute to another, as 2026-12-31 22:00.
type DateWindow struct {
	From string `json:"From" validate:"required"`
	To   string `json:"To" validate:"required"`
}

// BarredDays are whole days on which nothing is approved, the first and the last among them, as 2026-12-31.
type BarredDays struct {
	From string `json:"From" validate:"required"`
	To   string `json:"To" validate:"required"`
	Why  string `json:"Why" validate:"required,max=256"`
}

// OutLimits is how many machines of one service, and of one zone, may be in maintenance at once; 0 means one.
type OutLimits struct {
	Service int `json:"Service" validate:"gte=0,lte=1000"`
	Zone    int `json:"Zone" validate:"gte=0,lte=1000"`
}

// The forms of times in contracts.
const (
	minuteLayout    = "2006-01-02 15:04"
	dayLayout       = "2006-01-02"
	timeOfDayLayout = "15:04"
)

const minutesPerDay = 24 * 60

var weekdayByName = map[string]time.Weekday{
	"Sun": time.Sunday, "Mon": time.Monday, "Tue": time.Tuesday, "Wed": time.Wednesday,
	"Thu": time.Thursday, "Fri": time.Friday, "Sat": time.Saturday,
}

// parseTimeOfDay reads a time of day in minutes since midnight; 24:00 is the end of the day.
func parseTimeOfDay(text string) (minute int, ok bool) {
	if text == "24:00" {
		return minutesPerDay, true
	}
	t, err := time.Parse(timeOfDayLayout, text)
	return t.Hour()*60 + t.Minute(), err == nil
}
