package raft

// ProtocolVersion is the version that this build speaks. Each message carries the version of its sender. Version 0 is that of the first
// release, whose messages carry no version. It does not support joint changes, planned departures or snapshot chunks, so a member of
// version 0 is sent none of these.
const ProtocolVersion = 1

// The lowest protocol version that supports each extension of version 0.
const (
	versionWithLeave          = 1 // LeaveRequest and LeaveGranted
	versionWithJointChange    = 1 // configuration entries with Outgoing
	versionWithSnapshotChunks = 1 // SnapshotChunk and SnapshotChunkResponse
)

// lastVersion0Kind is the highest message kind that protocol version 0 supports.
const lastVersion0Kind = TimeoutNow

// MessageKind is the kind of a message. Its values are sent, so they must not change.
type MessageKind uint8

// Kinds of messages.
const (
	// AppendEntries carries the Entries that follow the entry at Index, which has LogTerm. Without Entries it is a heartbeat.
	AppendEntries MessageKind = iota
	// AppendResponse acknowledges that the sender's log agrees with the leader's log up to Index and is on disk up to there. With Reject it
	// says that the logs disagree at the position in the request, and that they may agree at Hint.
	AppendResponse
	// PreVote asks whether the receiver would vote for the sender in Term. The sender's log ends at Index with an entry of LogTerm.
	PreVote
	// PreVoteResponse answers PreVote. The pre-vote is granted unless Reject is set.
	PreVoteResponse
	// RequestVote asks for the receiver's vote in Term. The sender's log ends at Index with an entry of LogTerm.
	RequestVote
	// VoteResponse answers RequestVote. The vote is granted, and on the sender's disk, unless Reject is set.
	VoteResponse
	// InstallSnapshot carries a Snapshot in one message, for members of protocol version 0.
	InstallSnapshot
	// JoinRequest asks the leader to let the sender join. The sender is a non-member that listens at Addr.
	JoinRequest
	// NotMember tells the receiver that it is not a voter. Members are the voters as of ConfigurationIndex.
	NotMember
	// TimeoutNow transfers leadership: the receiver starts an election at once (dissertation, section 3.10).
	TimeoutNow
	// LeaveRequest announces that the sender is going to stop (from version 1 on; see leave.go).
	LeaveRequest
	// LeaveGranted answers LeaveRequest: the receiver may stop (from version 1 on).
	LeaveGranted
	// SnapshotChunk carries the part of a Snapshot's data that starts at Offset (from version 1 on).
	SnapshotChunk
	// SnapshotChunkResponse acknowledges the data up to Offset. With Reject the leader has to send everything from Offset on again (from
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

// Message is a message between members. To is the ID of the receiver; a member with another ID that now listens at the receiver's address
// ignores the message.
type Message struct {
	Kind               MessageKind
	From, To           ID
	Term               uint64    // of the sender; a PreVote and its granted response carry the term after the pre-candidate's
	Index, LogTerm     uint64    // a position in the sender's log; see the message kinds
	Commit             uint64    // the leader's commit index
	Entries            []Entry   // of an AppendEntries, without a gap
	Reject             bool      // of a response
	Hint               uint64    // of a rejected AppendResponse; or leadershipTransferHint
	HeartbeatRound     uint64    // of an AppendEntries, and of the AppendResponse to it
	Snapshot           *Snapshot // of an InstallSnapshot or, with a part of its data, of a SnapshotChunk
	Addr               string    // of a JoinRequest's sender; of a NotMember that answers it: where to send it
	Members            []Member  // of a NotMember
	ConfigurationIndex uint64    // of a NotMember: the entry that defines Members
	ProtocolVersion    uint32    // spoken by the sender; Ready sets it
	Offset, TotalBytes uint64    // of a SnapshotChunk, in the snapshot's data
	Checksum           uint32    // of a SnapshotChunk: CRC-32C of all of the snapshot's data
	Leaving            bool      // the sender is in a planned departure; Ready sets it
}

// leadershipTransferHint is the Hint of a RequestVote that follows TimeoutNow. Members handle this request although they are in contact
// with the leader (dissertation, section 4.2.3).
const leadershipTransferHint = 1
