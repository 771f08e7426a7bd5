package memberselection

import "fmt"

// ConnID identifies a dial and the connection that results from it. The zero value identifies none.
type ConnID uint64

// ActionKind says what the caller has to do.
type ActionKind uint8

// Kinds of actions.
const (
	// Dial opens a connection to Addr. The caller reports FirstMessageReceived or ConnectionClosed.
	Dial ActionKind = iota
	// Follow makes the connection the one that the sidecar's record and its key claims are sent on.
	Follow
	// Confirm reads all configuration items by a linearizable read. The caller reports ConfirmationReceived.
	Confirm
	// Close closes the connection, or gives up the dial, for Reason. The caller reports nothing.
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

// Action is one thing for the caller to do.
type Action struct {
	Kind   ActionKind
	ID     ConnID
	Addr   string      // host:port, of a Dial only
	Reason CloseReason // of a Close only
}

// CloseReason is why a connection is closed. It is an error, so that it can stand as the cause of the connection's end.
type CloseReason uint8

// Reasons to close a connection. The zero value says that there is none.
const (
	// SilentMember closes the followed connection after SilenceTimeout without a message.
	SilentMember CloseReason = iota + 1
	// SilentWhileRequestsWait closes the followed connection after WaitingSilenceTimeout without a message.
	SilentWhileRequestsWait
	// NoFirstMessage closes a dial after DialTimeout.
	NoFirstMessage
	// NotAMember closes a connection to an address that is neither a member nor a seed any more.
	NotAMember
	// OtherMemberFollowed closes the other connections once a member with a leader is followed.
	OtherMemberFollowed
	// OtherMemberHasLeader closes the followed connection in favour of a member that has a leader.
	OtherMemberHasLeader
)

// Error implements error.
func (r CloseReason) Error() string {
	switch r {
	case 0:
		return ""
	case SilentMember:
		return "it is silent"
	case SilentWhileRequestsWait:
		return "it is silent while requests wait for it"
	case NoFirstMessage:
		return "it sent no first message in time"
	case NotAMember:
		return "it is no member"
	case OtherMemberFollowed:
		return "another member is followed"
	case OtherMemberHasLeader:
		return "another member has a leader"
	}
	return fmt.Sprintf("CloseReason(%d)", uint8(r))
}
