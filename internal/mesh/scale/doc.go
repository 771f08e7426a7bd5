// Package scale measures how the cost of the control side grows with the size of a mesh. It runs hollow sidecars (the real
// code of a sidecar's control side, many in one process) against real control-plane processes over loopback, brings about
// changes, claims on keys, restarts and crashes of servers, and notes bytes, processor time, memory and delays for each role.
// From the results it fits slopes and exponents, draws a report and makes the tables of docs/CAPACITY.md.
//
// An orchestrator owns all other processes: the control plane, started by internal/rig/mesh, and workers, which are this
// program started again. A worker is told what to do over its standard input and ends when that is closed, so that nothing
// is left behind when the orchestrator ends, in whatever way.
package scale
