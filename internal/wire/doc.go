// Package wire is the simulator's text protocol: a Decoder reads batches of events, an Encoder writes the
// replies, and ParseSettings reads the settings object, which real nodes use too.
//
// A batch is a "sync" line with the clock, a line for each event, and "eob"; its reply is a line for each
// action, and "yield". The parts of a line are separated by tabs: the message's name, then its values, of
// which "-" is an absent one. Times are milliseconds with fractions.
//
// The package translates and makes no decisions. Its types belong to one goroutine each. What it reads and
// writes is fixed by the simulator, whose words for messages and keys are therefore kept here, and only
// here.
package wire
