// Package directory is the service discovery data of the mesh: which sidecars there are, and which server is beside each. Every
// process has its own copy.
//
// Only a sidecar itself announces its record, which carries its address, an incarnation that rises with each start and a sequence
// that rises with each record. As in SWIM, the highest incarnation and sequence win, whatever the order in which records arrive and
// whoever forwards them, so that records need not be replicated through the log.
//
// The package is pure. It must never decide whether a server gets requests, and never change a record on a sidecar's behalf; it
// only removes sidecars that have been silent for too long. A Table is never changed once it was made, so any goroutine may
// read it without a lock; whoever owns the latest one orders the changes.
//
// Source for incarnations: A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol" (2002).
package directory

import "time"

// ServerState is the state of a server according to the sidecar beside it. The values are part of the wire format.
type ServerState uint8

// States of servers.
const (
	ServerNone     ServerState = iota // no server is known
	ServerReady                       // sends heartbeats and reports that it is ready
	ServerDraining                    // has announced that it shuts down
	ServerDown                        // can't be reached
)

// String returns the name of the state.
func (s ServerState) String() string { return serverStateNames[min(s, ServerDown)] }

var serverStateNames = [...]string{"none", "ready", "draining", "down"}

// Record is what a sidecar announces about itself and its server.
type Record struct {
	Node            string
	Incarnation     uint64
	Sequence        uint64
	Addr            string // where the sidecar takes connections of the mesh; identifies the sidecar
	Zone            string
	Service         string
	ServerID        string // instance of the server; empty if there is none
	State           ServerState
	Slots           uint32        // requests that the server can run at once
	Warmup          time.Duration // remaining slow start of the server when the record was made
	Leaving         bool          // the sidecar itself shuts down
	ProtocolVersion uint32        // highest version of the transport that the sidecar reads

	// ReceivedAt and WarmAt are times of the receiver's own clock and are not sent.
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
