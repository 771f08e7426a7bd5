// Package policy merges the policies that namespaces set on requests.
//
// Namespaces own services, hosts and path prefixes (namespace.go). Their policies limit how many attempts a request
// gets, how long it may take, its priority and who may call (policy.go); a configuration item calls a policy a
// ruling. Where several policies apply to one route (set.go), their clauses are merged: the merged policy is the set
// of all clauses, and for each field the tightest clause is effective (clause.go, clauses.go). The decision for a
// request follows from that (decision.go). A change that contradicts another owner's policy, or that loosens it
// without consent, is rejected (change.go, conflict.go, effect.go). A policy set becomes active in two steps, by a
// rollout that the control plane agrees on and each sidecar follows (rollout.go, sidecarstate.go). explain.go and
// report.go describe merged policies for operators.
//
// The package is pure: it never reads a clock, starts a goroutine, logs or does I/O, and the same calls give the same
// answers in every process. A Set is never changed once made, so it may be read by any goroutine.
//
// Namespaces and policies are configuration items, the rollout and effects are replicated state: the names in their
// tags, and the values of fields and roles, are data, and never change. So are fingerprints, which processes of
// different versions compare.
//
// Sources: docs/rules.md, docs/teams.md and docs/design/rules.md. The merge is a join-semilattice (M. Shapiro and
// others, "Conflict-free replicated data types", 2011); the time for which a sidecar uses a set without confirmation
// is a lease (C. Gray and D. Cheriton, "Leases", 1989).
package policy
