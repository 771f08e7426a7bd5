package raft

// ProtocolVersion is the version that this build speaks; each message carries its sender's. Version 0 is that of the first release,
// whose messages carry none. It knows neither joint changes, departures nor snapshot chunks, so none of these is sent to it.
const ProtocolVersion = 1

// lastVersion0Kind is the last kind of message that protocol version 0 knows.
const lastVersion0Kind = TimeoutNow

// MessageKind is what a message says. Its values are sent.
type MessageKind uint8

// Kinds of messages.
const (
	AppendEntries         MessageKind = iota // Entries that follow the entry at Index of LogTerm; without Entries a heartbeat
	AppendResponse                           // Index: the logs agree up to there; Reject: they do not, and Hint says where they may
	PreVote                                  // asks: would you vote for me in Term? The log ends at Index, LogTerm
	PreVoteResponse                          // Reject: no
	RequestVote                              // asks for the vote in Term
	VoteResponse                             // Reject: no
	InstallSnapshot                          // Snapshot, all of it: for protocol version 0
	JoinRequest                              // a non-member at Addr asks the leader to take it in
	NotMember                                // answer to a non-member: Members are the voters as of ConfigurationIndex
	TimeoutNow                               // the leader hands over: be elected at once (dissertation, section 3.10)
	LeaveRequest                             // a member is going to stop (from version 1 on)
	LeaveGranted                             // its answer: nothing rests on that member any more (from version 1 on)
	SnapshotChunk                            // part of a Snapshot's data, from Offset on (from version 1 on)
	SnapshotChunkResponse                    // Offset: so many bytes have come; Reject: continue from there (from version 1 on)
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
	Term               uint64
	Index, LogTerm     uint64
	Commit             uint64 // the leader's commit index
	Entries            []Entry
	Reject             bool
	Hint               uint64 // of a rejected AppendResponse; or leadershipTransferHint
	HeartbeatRound     uint64 // of an AppendEntries, and of the AppendResponse to it
	Snapshot           *Snapshot
	Addr               string // of a JoinRequest, and where the NotMember that answers it goes
	Members            []Member
	ConfigurationIndex uint64
	ProtocolVersion    uint32 // that the sender speaks; Ready sets it
	Offset, TotalBytes uint64 // of a SnapshotChunk, in the snapshot's data
	Checksum           uint32 // of a SnapshotChunk: CRC-32C of all of the snapshot's data
	Leaving            bool   // the sender is in a planned departure; Ready sets it
}

// leadershipTransferHint is the Hint of a RequestVote that the leader asked for by TimeoutNow. Members vote for it although they hear the
// leader (dissertation, section 4.2.3).
const leadershipTransferHint = 1
