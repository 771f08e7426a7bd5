// Package resource parses clusters and endpoints in xDS form and translates them into the server list of
// the decision module.
//
// The types Cluster and Assignment are the parsed resources. Clusters joins the two: it knows which
// assignments have to be subscribed to, and which assignment each watched cluster has. Differ turns the
// sequence of a cluster's assignments into list updates for an engine.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Its types are not safe for
// concurrent use, but a parsed resource may be shared once it is returned, since nothing changes it.
//
// What the module can't use is either rejected, and the control plane is told so by a NACK, or ignored and
// listed in IgnoredFields, where an operator can see it. Nothing is guessed. docs/xds.md has a table of
// every field; the specification is the comments of the messages in envoy.config.cluster.v3 and
// envoy.config.endpoint.v3.
package resource
