// Package directory holds which sidecars there are, and which server stands beside each, as every process of the mesh knows it.
//
// Each sidecar announces itself alone: its record carries its address, an incarnation that rises with each start and a sequence
// that rises with each record. As in SWIM, the highest of both wins, in whatever order records arrive and whoever passes them
// on, so that members and sidecars need not agree on records through the log.
//
// The package is pure. It must never decide whether a server gets requests, and never changes a record on a sidecar's behalf; it
// only forgets a sidecar that was silent for too long.
package directory

import "time"

// ServerState is the state of a server, as the sidecar beside it knows it. The values are part of the wire format.
type ServerState uint8

// States of servers.
const (
	ServerNone     ServerState = iota // there is no server, as far as is known
	ServerReady                       // sends heartbeats and says that it is ready
	ServerDraining                    // has announced that it shuts down
	ServerDown                        // can't be reached
)

// String names the state.
func (s ServerState) String() string { return serverStateNames[min(s, ServerDown)] }

var serverStateNames = [...]string{"none", "ready", "draining", "down"}

// Record is what a sidecar announces of itself and of its server.
type Record struct {
	Node            string
	Incarnation     uint64
	Sequence        uint64
	Addr            string // where the sidecar takes connections of the mesh; identifies the sidecar
	Zone            string
	Service         string
	ServerID        string // instance of the server; empty if there is none
	State           ServerState
	Slots           uint32        // requests that the server serves at once
	Warmup          time.Duration // of the server's slow start, what was left when the record was made
	Leaving         bool          // the sidecar itself shuts down
	ProtocolVersion uint32        // highest version of the transport that the sidecar reads

	// ReceivedAt and WarmAt are times of the holder's own clock and are not sent.
	ReceivedAt time.Duration
	WarmAt     time.Duration // end of the server's slow start; 0 if it had none
}

// isNewerThan compares two records of one sidecar.
func (r Record) isNewerThan(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}
