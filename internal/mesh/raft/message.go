package raft

// ProtocolVersion is the version that this build speaks; each message carries its sender's. Version 0 is that of the first release,
// whose messages carry none. It knows neither joint changes, departures nor snapshot chunks, so none of these is sent to it.
const ProtocolVersion = 1

// The first protocol versions with an extension of version 0.
const (
	versionWithLeave          = 1 // LeaveRequest and LeaveGranted
	versionWithJointChange    = 1 // configuration entries with Outgoing
	versionWithSnapshotChunks = 1 // SnapshotChunk and SnapshotChunkResponse
)

// lastVersion0Kind is the last kind of message that protocol version 0 knows.
const lastVersion0Kind = TimeoutNow

// MessageKind is what a message says. Its values are sent, so they must not change.
type MessageKind uint8

// Kinds of messages.
const (
	// AppendEntries carries the Entries that follow the entry at Index, which is of LogTerm. It is a heartbeat if it has no Entries.
	AppendEntries MessageKind = iota
	// AppendResponse says that the sender's log agrees with the leader's up to Index and is on disk. With Reject it says that the logs do
	// not agree at the position of the request, and that they may agree at Hint.
	AppendResponse
	// PreVote asks whether the receiver would vote for the sender in Term. The sender's log ends at Index, with an entry of LogTerm.
	PreVote
	// PreVoteResponse answers PreVote: yes, unless Reject is set.
	PreVoteResponse
	// RequestVote asks for the vote in Term. The sender's log ends at Index, with an entry of LogTerm.
	RequestVote
	// VoteResponse answers RequestVote: the vote is given, and on disk, unless Reject is set.
	VoteResponse
	// InstallSnapshot carries a Snapshot in one message, for members of protocol version 0.
	InstallSnapshot
	// JoinRequest asks the leader to let the sender join, which is a non-member and listens at Addr.
	JoinRequest
	// NotMember tells the receiver that it is no voter. Members are the voters as of ConfigurationIndex.
	NotMember
	// TimeoutNow transfers leadership: the receiver starts an election at once (dissertation, section 3.10).
	TimeoutNow
	// LeaveRequest says that the sender is going to stop (from version 1 on; see leave.go).
	LeaveRequest
	// LeaveGranted answers LeaveRequest: nothing depends on the receiver any more (from version 1 on).
	LeaveGranted
	// SnapshotChunk carries the part of a Snapshot's data that starts at Offset (from version 1 on).
	SnapshotChunk
	// SnapshotChunkResponse says that the sender has the data up to Offset. With Reject the receiver has to continue from there (from
	// version 1 on).
	SnapshotChunkResponse
)

var messageKindNames = [...]string{
	AppendEntries:         "append entries",
	AppendResponse:        "append response",
	PreVote:               "pre-vote",
	PreVoteResponse:       "pre-vote response",
	RequestVote:           "request vote",
	VoteResponse:          "vote response",
	InstallSnapshot:       "install snapshot",
	JoinRequest:           "join request",
	NotMember:             "not member",
	TimeoutNow:            "timeout now",
	LeaveRequest:          "leave request",
	LeaveGranted:          "leave granted",
	SnapshotChunk:         "snapshot chunk",
	SnapshotChunkResponse: "snapshot chunk response",
}

// String returns the kind's name.
func (k MessageKind) String() string {
	if int(k) < len(messageKindNames) {
		return messageKindNames[k]
	}
	return "unknown message kind"
}

// Message is sent between members. To is the ID of the receiver; another member that now listens at its address ignores the message.
type Message struct {
	Kind               MessageKind
	From, To           ID
	Term               uint64    // the sender's; of a PreVote the next one, which a granted PreVoteResponse repeats
	Index, LogTerm     uint64    // a position in the sender's log; see the kinds
	Commit             uint64    // the leader's commit index
	Entries            []Entry   // of an AppendEntries, without a gap
	Reject             bool      // of a response
	Hint               uint64    // of a rejected AppendResponse; or leadershipTransferHint
	HeartbeatRound     uint64    // of an AppendEntries, and of the AppendResponse to it
	Snapshot           *Snapshot // of an InstallSnapshot or, with a part of its data, of a SnapshotChunk
	Addr               string    // of a JoinRequest, and where the NotMember that answers it goes
	Members            []Member  // of a NotMember
	ConfigurationIndex uint64    // of a NotMember: the entry that defines Members
	ProtocolVersion    uint32    // that the sender speaks; Ready sets it
	Offset, TotalBytes uint64    // of a SnapshotChunk, in the snapshot's data
	Checksum           uint32    // of a SnapshotChunk: CRC-32C of all of the snapshot's data
	Leaving            bool      // the sender is in a planned departure; Ready sets it
}

// leadershipTransferHint is the Hint of a RequestVote that the leader asked for by TimeoutNow. Members vote for it although they hear the
// leader (dissertation, section 4.2.3).
const leadershipTransferHint = 1
