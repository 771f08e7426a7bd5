package codec

// Kinds of Ask.
const (
	CallModify         byte = iota + 1 // an operator's call, as it came
	CallReadIndex                      // up to which entry must be applied, so that nothing acknowledged is missing
	CallItems                          // all items, confirmed
	CallLeaseKeys                      // keys
	CallStoredResponse                 // between lines: the answer that was kept for a key
	CallStatus                         // how the process is: a Status
	CallLogRing                        // the lines of its log that it still has
	CallHandOverKeys                   // between lines: keep what another kept of keys, a Legacy
	CallDrain                          // of a line: have its server taken out (a body that is not empty) or back in, by hand
	CallActivePolicy                   // which set of namespaces and rulings binds, confirmed: a Bound
)
