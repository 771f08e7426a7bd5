// Package testfleet starts fleets of real node processes among fake servers, a fake registry and fake callers, and injects faults:
// killed, stopped and restarted processes, lost state directories, and partitions, loss, delay and resets of the network between them.
// It also has what tests of the mesh share with those of fleets: Process, Relay and Await.
//
// The processes know nothing of the test. A Fabric stands between the members of a fleet, and a Relay between named machines of the mesh;
// both need no privileges. A test owns its fleet and must close it, which ends all processes and goroutines.
package testfleet
