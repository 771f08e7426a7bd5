package memberselection

import "fmt"

// ConnID identifies a dial and the connection that results from it. The zero value identifies none.
type ConnID uint64

// ActionKind is the type of an action.
type ActionKind uint8

// Kinds of actions.
const (
	// Dial opens a connection to Addr. The caller reports FirstMessageReceived or ConnectionClosed.
	Dial ActionKind = iota
	// Follow makes this the connection on which the sidecar sends its record and its requests for key leases.
	Follow
	// Confirm reads all configuration items with a linearizable read. The caller reports ConfirmationReceived.
	Confirm
	// Close closes the connection or aborts the dial, because of Reason. The caller reports nothing.
	Close
)

// String implements fmt.Stringer.
func (k ActionKind) String() string {
	switch k {
	case Dial:
		return "dial"
	case Follow:
		return "follow"
	case Confirm:
		return "confirm"
	case Close:
		return "close"
	}
	return fmt.Sprintf("ActionKind(%d)", uint8(k))
}

// Action is an operation that the caller carries out for the selector.
type Action struct {
	Kind   ActionKind
	ID     ConnID
	Addr   string      // host:port; set for Dial only
	Reason CloseReason // set for Close only
}

// CloseReason is why a connection is closed. It implements error so that it can be used as the cause with which the connection
// is closed.
type CloseReason uint8

// Reasons to close a connection. The zero value means no reason.
const (
	// SilentMember closes the followed connection after SilenceTimeout without a message.
	SilentMember CloseReason = iota + 1
	// SilentWhileRequestsWait closes the followed connection after WaitingSilenceTimeout without a message.
	SilentWhileRequestsWait
	// NoFirstMessage aborts a dial whose member has sent no message within DialTimeout.
	NoFirstMessage
	// NotAMember closes a connection to an address that is no longer a member or a seed.
	NotAMember
	// OtherMemberFollowed closes the remaining connections once the followed member has a leader.
	OtherMemberFollowed
	// OtherMemberHasLeader closes the followed connection because another member has a leader and this one has none.
	OtherMemberHasLeader
)

// Error implements error.
func (r CloseReason) Error() string {
	switch r {
	case 0:
		return ""
	case SilentMember:
		return "the member sent no message within the silence timeout"
	case SilentWhileRequestsWait:
		return "the member sent no message while requests were waiting for its answer"
	case NoFirstMessage:
		return "the member sent no first message within the dial timeout"
	case NotAMember:
		return "the address is no longer a member or a seed"
	case OtherMemberFollowed:
		return "the sidecar follows another member that has a leader"
	case OtherMemberHasLeader:
		return "the member has no leader and another member has one"
	}
	return fmt.Sprintf("CloseReason(%d)", uint8(r))
}
