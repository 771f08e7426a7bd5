package codec

// Kinds of calls. Their numbers are part of the wire format and must never be reused for another kind. Unless stated otherwise, the bodies
// of a call and of its reply are the tables named here, encoded by EncodeTable.
const (
	// CallModify forwards an operator's configuration change to the leader, with its body unchanged.
	CallModify byte = iota + 1
	// CallReadIndex asks the leader for the log index up to which a member must have applied entries to have everything acknowledged; the
	// reply is that index as eight big-endian bytes.
	CallReadIndex
	// CallItems reads all configuration items by a linearizable read; the reply is wire.Items.
	CallItems
	// CallLeaseKeys requests leases of idempotency keys: wire.KeyLeaseRequests; the reply is wire.KeyLeaseResults.
	CallLeaseKeys
	// CallStoredResponse asks another sidecar for the response that it has stored for a key: wire.KeyHandover with one key; the reply is
	// wire.StoredResponse.
	CallStoredResponse
	// CallStatus asks any process for its wire.Status.
	CallStatus
	// CallLogRing asks any process for the contents of its log ring.
	CallLogRing
	// CallHandOverKeys transfers stored responses to another sidecar: wire.KeyHandover.
	CallHandOverKeys
	// CallDrain drains the server of a sidecar on behalf of an operator. With an empty body it ends the drain.
	CallDrain
	// CallActivePolicy reads which policy set is active by a linearizable read; the reply is wire.ActivePolicy.
	CallActivePolicy
)
