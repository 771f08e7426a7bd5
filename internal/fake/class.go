package fake

import "time"

// Effect is what a class promises about running one of its requests more than once.
type Effect int

// The effects that the protocol knows.
const (
	Unsafe Effect = iota // must run at most once
	Keyed                // idempotent by its key, within a scope and a window
	Safe                 // may run any number of times
)

// Scope is the set of servers that recognize a repeated key.
type Scope int

// Scopes, from the narrowest to the widest.
const (
	ScopeCell Scope = iota
	ScopeZone
	ScopeAll
)

// Class is a class of requests, as callers and servers know it.
type Class struct {
	Name     string
	Effect   Effect
	Scope    Scope         // of Keyed: the servers that recognize the key
	Window   time.Duration // of Keyed: how long they remember it
	Deadline time.Duration // from the first byte sent until the response must have arrived
}
