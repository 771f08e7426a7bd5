// Package fake provides test doubles for everything outside the program under test: servers, the platform's registry, callers,
// gateways for HTTP/2 and gRPC, a relay that loses responses, and a simple load balancer to compare with. All of them listen on
// loopback and follow the protocol of operations' page, which the program's fronts and senders follow, too.
//
// Every fake writes what it saw to a shared Recorder, by one clock. The result is a History (in the sense of Jepsen: requests as
// callers and servers saw them, and the faults that were injected), which package audit checks.
//
// A fake must never ask the program about itself, and the package imports nothing of the program's decisions: a check that rests on
// the program's own account would miss what the program gets wrong.
package fake
