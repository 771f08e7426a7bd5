// Package policy merges the policies that namespaces set on requests.
//
// Namespaces own services, hosts and path prefixes (namespace.go). Their policies say how often a request may be tried, how
// long it may take, how urgent it is and who may call (policy.go); a configuration item calls one a ruling. Where several meet
// on one route (set.go), their clauses are merged: the merged policy is the set of all clauses, and of each field the tightest
// holds (clause.go, clauses.go), from which a sidecar's decision follows (decision.go). A change that contradicts another's
// policy, or that loosens it without consent, is rejected when it is made (change.go, conflict.go, effect.go). A policy set
// becomes active in two steps, by a rollout that the control plane agrees on and each sidecar follows (rollout.go,
// sidecarstate.go). Merged policies are told to operators by explain.go and report.go.
//
// The package is pure: it never reads a clock, starts a goroutine, logs or does I/O, and the same calls give the same answers
// in every process. A Set is never changed once made, so it may be read by any goroutine.
//
// Namespaces and policies are configuration items, the rollout and effects are replicated state: the names in their tags, and
// the values of fields and roles, are data, and never change. So are fingerprints, which processes of different versions
// compare.
//
// Sources: docs/rules.md, docs/teams.md and docs/design/rules.md. The merge is a join-semilattice (M. Shapiro and others,
// "Conflict-free replicated data types", 2011); the time for which a sidecar goes by an unconfirmed set is a lease (C. Gray and
// D. Cheriton, "Leases", 1989).
package policy
