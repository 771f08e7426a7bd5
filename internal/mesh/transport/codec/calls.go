package codec

// Kinds of calls. They are sent, so a number must never be used for another kind. The body of a call and that of its reply are the tables
// named here, encoded by EncodeTable.
const (
	// CallModify forwards an operator's configuration change to the leader, with its body as it came.
	CallModify byte = iota + 1
	// CallReadIndex asks the leader for the index that a member must have applied so that nothing acknowledged is missing; the reply is
	// that index as eight big-endian bytes.
	CallReadIndex
	// CallItems reads all configuration items by a linearizable read; the reply is wire.Items.
	CallItems
	// CallLeaseKeys makes wire.KeyLeaseRequests; the reply is wire.KeyLeaseResults.
	CallLeaseKeys
	// CallStoredResponse asks another sidecar for the response that it stores for a key: wire.KeyHandover with one key; the reply is
	// wire.StoredResponse.
	CallStoredResponse
	// CallStatus asks any process for its wire.Status.
	CallStatus
	// CallLogRing asks any process for the contents of its log ring.
	CallLogRing
	// CallHandOverKeys hands over stored responses to another sidecar: wire.KeyHandover.
	CallHandOverKeys
	// CallDrain drains the server of a sidecar on behalf of an operator, or ends that if the body is empty.
	CallDrain
	// CallActivePolicy reads which policy set is active by a linearizable read; the reply is wire.ActivePolicy.
	CallActivePolicy
)
