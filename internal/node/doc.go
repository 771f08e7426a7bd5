// Package node assembles one load balancer process: the listeners that accept callers, the routes, the pools with their
// engines, and the senders and discovery sources that the pools use. It owns the life of that process, and the files
// follow its phases:
//
//   - provision (provision.go, pool.go): open what a plan names, in order of dependency, without serving a request;
//   - validate: a plan arrives validated by internal/operator or config.go; validateReload (reload_plan.go) adds the
//     rules that apply while the node runs;
//   - serve (serve.go): route requests (routing.go), reload to other plans (reload.go), execute operators' commands
//     (commands.go);
//   - drain (drain.go): complete the requests in flight while callers turn to other nodes or to a successor;
//   - stop (stop.go): close what is left, pools before the things that they use.
//
// A hot restart, in which a second process takes over from this one, is in hot_restart.go and hot_restart_state.go.
//
// The package never decides which server gets a request, which is the balancer's task, and it parses no format other
// than the platform's JSON configuration. The protocols towards callers and servers, gRPC and xDS among them, are
// packages of their own; those that not every program links are passed in by Options.
//
// Goroutines: New, NewFromPlan and Run belong to the goroutine that owns the node; all other methods of Node may be called
// from any. Fronts look up routes and pools without a lock, in a servingSet that a reload replaces as a whole. Node.mu
// serializes reloads and guards what they change.
//
// The design is in docs/design: pools.md for pools, limits and reloads, handover.md for hot restarts, zones.md for the
// account of zones, membership.md for fleets.
package node
