package codec

// Kinds of calls. They are sent, so a number must never be used for another kind.
const (
	// CallModify forwards an operator's configuration change to the leader, with its body as it came.
	CallModify byte = iota + 1
	// CallReadIndex asks the leader for the index that a member must have applied so that nothing acknowledged is missing.
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
	// CallDrain takes the server of a sidecar out on behalf of an operator (body not empty), or lets it in again (empty).
	CallDrain
	// CallActivePolicy reads which policy set is active by a linearizable read; the reply is wire.ActivePolicy.
	CallActivePolicy
)
