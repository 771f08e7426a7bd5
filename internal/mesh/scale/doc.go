// Package scale measures how the cost of the control plane grows with the size of a mesh. It runs hollow sidecars (the real code of
// a sidecar's control side, many in one process) against real control-plane processes over loopback, causes configuration changes,
// key leases, restarts and crashes of servers, and records bytes, processor time, memory and delays for each role. From the results
// it fits growth laws, draws a report and writes the tables of docs/CAPACITY.md.
//
// The orchestrator (Run) owns all other processes: the control plane, which internal/mesh/testcluster starts, and workers, which are
// this program started again. A worker takes requests on its standard input and ends when that is closed, so that no process is left
// however the orchestrator ends.
//
// The keys of the experiment files and of the stored results are those of the first runs: results of different dates are compared
// with each other. Hence a register in a file is a control-plane member here, a claim is a key lease, and what is said, heard or
// told there is sent or received here. Pages and reports use the words of this package.
//
// Run and a fleet belong to one goroutine; only the counter of heartbeats and a server's interval are shared with others.
//
// Growth is fitted by ordinary least squares, of a power law on logarithms; the errors are those of simple linear regression.
package scale
