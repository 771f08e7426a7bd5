// Package directory contains the service discovery data of the mesh: the sidecars and the server of each sidecar. Every process has
// its own copy.
//
// Each sidecar announces its own record, with its address, an incarnation number that increases with each start and a sequence number
// that increases with each record. As in SWIM, the record with the highest incarnation and sequence wins, regardless of the order in
// which records arrive and of who forwards them, so records need not be replicated through the log.
//
// The package does no I/O and reads no clock. It must never decide whether a server receives requests, and must never change a record
// on behalf of a sidecar; it only removes sidecars whose records have not been renewed for too long. A Table is immutable, so any
// goroutine may read it without a lock. The owner of the latest table must serialize the updates.
//
// For incarnation numbers see A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol" (2002).
package directory

import "time"

// ServerState is the state of a server as reported by its sidecar. The values are part of the wire format.
type ServerState uint8

// States of servers.
const (
	ServerNone     ServerState = iota // the sidecar knows no server
	ServerReady                       // the server sends heartbeats and reports that it is ready
	ServerDraining                    // the server has announced its shutdown
	ServerDown                        // the server cannot be reached
)

// String returns the name of the state.
func (s ServerState) String() string { return serverStateNames[min(s, ServerDown)] }

var serverStateNames = [...]string{"none", "ready", "draining", "down"}

// Record is what a sidecar announces about itself and its server.
type Record struct {
	Node            string
	Incarnation     uint64
	Sequence        uint64
	Addr            string // address on which the sidecar accepts connections of the mesh; identifies the sidecar
	Zone            string
	Service         string
	ServerID        string // instance ID of the server; empty if there is none
	State           ServerState
	Slots           uint32        // requests that the server can run concurrently
	Warmup          time.Duration // remaining slow start of the server when the record was created
	Leaving         bool          // whether the sidecar is shutting down
	ProtocolVersion uint32        // highest version of the transport protocol that the sidecar supports

	// ReceivedAt and WarmAt are times of the receiver's clock. They are not sent.
	ReceivedAt time.Duration
	WarmAt     time.Duration // end of the server's slow start; 0 if it has none
}

// isNewerThan reports whether a record is newer than another record of the same sidecar.
func (r Record) isNewerThan(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}
