// Package policy merges the policies that namespaces set on requests.
//
// Namespaces own services, hosts and path prefixes (namespace.go). Their policies limit how many attempts a request
// gets, how long it may take, its priority and who may call (policy.go). In the configuration, a policy is called a
// ruling. Where several policies apply to one route (set.go), their clauses are merged: the merged policy is the set
// of all clauses, and for each field the tightest clause is effective (clause.go, clauses.go). It determines the
// decision for a request (decision.go). A change that contradicts another owner's policy, or that loosens it without
// consent, is rejected (change.go, conflict.go, effect.go). A new policy set is rolled out in two steps: the control
// plane first agrees on it and then activates it once the sidecars have received it (rollout.go, sidecarstate.go).
// explain.go and report.go describe merged policies for operators.
//
// The package is pure: it never reads a clock, starts a goroutine, logs or does I/O, and the same calls give the same
// results in every process. A Set is immutable, so any goroutine may read it.
//
// Namespaces and policies are configuration items, and the rollout and effects are replicated state. The names in their
// struct tags and the values of fields and roles are therefore data and must never change. The same goes for how
// fingerprints are computed, since processes of different versions compare them.
//
// Sources: docs/rules.md, docs/teams.md and docs/design/rules.md. The merge is a join-semilattice (M. Shapiro and
// others, "Conflict-free replicated data types", 2011). A sidecar's permission to use the active set is a lease that
// each confirmation renews (C. Gray and D. Cheriton, "Leases", 1989).
package policy
