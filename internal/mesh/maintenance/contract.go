package maintenance

import "time"

// Contract approves maintenance windows for the machines that carry the traffic it covers. It is stored as a configuration item with the
// same field names.
type Contract struct {
	Name          string `json:"Name" validate:"required,max=512"`
	ConfigVersion int64  `json:"ConfigVersion"`
	Covers        Scope  `json:"Covers"`
	TimeZone      string `json:"TimeZone" validate:"required,max=64"` // a name of the IANA time zone database
	// Weekly are the windows of every week, and Dates single windows, both in the contract's time zone. All of them are approved, except
	// on the days in Barred.
	Weekly []WeeklyWindow `json:"Weekly" validate:"max=64,dive"`
	Dates  []DateWindow   `json:"Dates" validate:"max=256,dive"`
	Barred []BarredDays   `json:"Barred" validate:"max=256,dive"`
	// MostOut limits how many machines are in maintenance at once.
	MostOut OutLimits `json:"MostOut"`
	// LeastReady is the share of a service's slots that must remain ready, from 0 to 1.
	LeastReady float64  `json:"LeastReady" validate:"gte=0,lte=1"`
	Approvers  []string `json:"Approvers" validate:"min=1,max=64,dive,required,max=128"`
}

// Scope is the traffic that a contract covers: requests to any of these services, to any of these zones, on any of these
// routes, or to any service of these namespaces or of namespaces nested in them. An empty scope covers all traffic.
type Scope struct {
	Services   []string `json:"Services" validate:"max=256"`
	Zones      []string `json:"Zones" validate:"max=256"`
	Routes     []string `json:"Routes" validate:"max=1024"`
	Namespaces []string `json:"Namespaces,omitempty" validate:"max=256"`
}

func (s Scope) isEmpty() bool {
	return len(s.Services)+len(s.Zones)+len(s.Routes)+len(s.Namespaces) == 0
}

// WeeklyWindow is a window on some days of the week, for example from 22:00 to 23:30. To may be 24:00. A window that
// spans midnight has to be written as two.
type WeeklyWindow struct {
	Days []string `json:"Days" validate:"min=1,max=7,dive,oneof=Mon Tue Wed Thu Fri Sat Sun"`
	From string   `json:"From" validate:"required"`
	To   string   `json:"To" validate:"required"`
}

// DateWindow is a single window from one minute to another, each written as 2026-12-31 22:00.
type DateWindow struct {
	From string `json:"From" validate:"required"`
	To   string `json:"To" validate:"required"`
}

// BarredDays is a range of whole days, both ends included, on which no maintenance is approved. Days are written as 2026-12-31.
type BarredDays struct {
	From string `json:"From" validate:"required"`
	To   string `json:"To" validate:"required"`
	Why  string `json:"Why" validate:"required,max=256"`
}

// OutLimits is how many machines of the same service, and of the same zone, may be in maintenance at once. 0 means 1.
type OutLimits struct {
	Service int `json:"Service" validate:"gte=0,lte=1000"`
	Zone    int `json:"Zone" validate:"gte=0,lte=1000"`
}

// Layouts of the days and times in contracts.
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

// parseTimeOfDay parses a time of day and returns the minutes since midnight. 24:00 is the end of the day.
func parseTimeOfDay(text string) (minute int, ok bool) {
	if text == "24:00" {
		return minutesPerDay, true
	}
	t, err := time.Parse(timeOfDayLayout, text)
	return t.Hour()*60 + t.Minute(), err == nil
}
