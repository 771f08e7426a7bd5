package codec

// Kinds of calls. A number that is in use is never given to another kind.
const (
	// CallModify passes an operator's call on to the leader, as it came.
	CallModify byte = iota + 1
	// CallReadIndex asks the leader up to which entry a member has to have applied so that nothing acknowledged is missing.
	CallReadIndex
	// CallItems reads all configuration items, confirmed by a quorum: wire.Items.
	CallItems
	// CallLeaseKeys makes wire.KeyLeaseRequests; the reply is wire.KeyLeaseResults.
	CallLeaseKeys
	// CallStoredResponse asks another sidecar for the response that it keeps for a key: wire.KeyHandover of one key, then
	// wire.StoredResponse.
	CallStoredResponse
	// CallStatus asks any process for its wire.Status.
	CallStatus
	// CallLogRing asks any process for the log lines that it still has in memory.
	CallLogRing
	// CallHandOverKeys has another sidecar keep what this one kept of keys: wire.KeyHandover.
	CallHandOverKeys
	// CallDrain has a sidecar take its server out by hand (a body that is not empty) or let it in again.
	CallDrain
	// CallActivePolicy reads which policy set is active, confirmed by a quorum: wire.ActivePolicy.
	CallActivePolicy
)
