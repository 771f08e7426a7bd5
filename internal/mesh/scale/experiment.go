package scale

import "time"

// Experiment is what a run measures. Its fields are the keys of an experiment file.
type Experiment struct {
	// Name names the file of the results.
	Name string `toml:"name" json:"name"`
	// Sizes are numbers of sidecars, each measured by itself.
	Sizes []int `toml:"sizes" json:"sizes"`
	// Full is how many of the sidecars are hollow sidecars with their complete control side; the others are announcers.
	// One number for each size, or one for all. With 0 all are full.
	Full []int `toml:"full" json:"full"`
	// Seeds decide which servers restart and which services they belong to; each size is measured once for each seed.
	Seeds []uint64 `toml:"seeds" json:"seeds"`
	// RepeatTo is the largest size that is measured with each seed; larger ones are measured with the first seed only. With 0
	// all sizes are measured with each.
	RepeatTo int `toml:"repeat_to" json:"repeat_to"`
	// Phases are those in which the sizes are measured; idle comes first. Varied services and routes are measured in idle and
	// changes, the comparison in all but heartbeats.
	Phases []string `toml:"phases" json:"phases"`
	// Members is the number of control-plane members.
	Members int `toml:"registers" json:"registers"`
	// Services and Routes are how many of each the configuration holds.
	Services int `toml:"services" json:"services"`
	Routes   int `toml:"routes" json:"routes"`
	// VarySize is the size at which VaryServices and VaryRoutes are measured, one at a time. With 0 they are
	// not measured.
	VarySize     int   `toml:"vary_size" json:"vary_size"`
	VaryServices []int `toml:"vary_services" json:"vary_services"`
	VaryRoutes   []int `toml:"vary_routes" json:"vary_routes"`
	// Compare is how many real sidecars are measured against as many hollow ones; with 0 none are.
	Compare int `toml:"compare" json:"compare"`
	// PhaseS is how long each phase is measured, in seconds; SettleS how long the mesh rests after its start.
	PhaseS  float64 `toml:"phase_s" json:"phase_s"`
	SettleS float64 `toml:"settle_s" json:"settle_s"`
	// HeartbeatS is the interval of the servers' heartbeats, in seconds.
	HeartbeatS float64 `toml:"heartbeat_s" json:"heartbeat_s"`
	// ChangesPerS, ClaimsPerS and RestartsPerS are the rates of configuration changes, key leases and restarts of servers, over the
	// whole mesh.
	ChangesPerS  float64 `toml:"changes_per_s" json:"changes_per_s"`
	ClaimsPerS   float64 `toml:"claims_per_s" json:"claims_per_s"`
	RestartsPerS float64 `toml:"restarts_per_s" json:"restarts_per_s"`
	// HeartbeatFactor is by how much heartbeats are more frequent in the phase that measures them.
	HeartbeatFactor float64 `toml:"heartbeat_factor" json:"heartbeat_factor"`
	// MemoryGiB is how much memory all processes of a run may use together; beyond it the run stops and keeps what it has measured.
	MemoryGiB float64 `toml:"memory_gib" json:"memory_gib"`
	// KeepBound keeps phases that the machine limited in the fits, for trials on a machine that does other work.
	KeepBound bool `toml:"keep_bound" json:"keep_bound"`
	// Note is printed with the results, for instance that other work ran on the machine.
	Note string `toml:"note" json:"note"`
}

// DefaultExperiment returns the values that hold where a file does not name a field.
func DefaultExperiment() Experiment {
	return Experiment{
		Full:            []int{30},
		Seeds:           []uint64{1},
		RepeatTo:        maxSidecars,
		Members:         3,
		Phases:          []string{PhaseIdle, PhaseChanges, PhaseLeases, PhaseRestarts, PhaseHeartbeats},
		Services:        3,
		Routes:          6,
		PhaseS:          5,
		SettleS:         2,
		HeartbeatS:      0.3,
		ChangesPerS:     5,
		ClaimsPerS:      200,
		RestartsPerS:    2,
		HeartbeatFactor: 4,
		MemoryGiB:       15,
	}
}

// fullAt returns the number of full sidecars at the size with an index.
func (x Experiment) fullAt(i int) int { return x.Full[min(i, len(x.Full)-1)] }

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
