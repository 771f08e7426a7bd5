package raft

// lastVersion0Kind is the last kind that Version 0 knows.
const lastVersion0Kind = TimeoutNow

// ProtocolVersion is what this build speaks; it goes with each message. Version 0 is the first, which sends none: it knows neither
// joint configurations nor what came after them, so nothing of that goes to one that speaks it.
const ProtocolVersion = 1

// MessageKind says what a message is.
type MessageKind uint8

// Kinds of messages.
const (
	AppendEntries         MessageKind = iota // entries behind Index, LogTerm; also the leader's beat
	AppendResponse                           // Index: so far the log agrees; Reject with Hint: it does not
	PreVote                                  // would you vote for me
	PreVoteResponse                          // the answer
	RequestVote                              // vote for me
	VoteResponse                             // the answer
	InstallSnapshot                          // a snapshot
	JoinRequest                              // take me in
	NotMember                                // you are none; Members are
	TimeoutNow                               // the leader ends: take over
	LeaveRequest                             // a member is told to end (from Version 1 on)
	LeaveGranted                             // the answer: what it holds is held by those that stay
	SnapshotChunk                            // a part of a snapshot (from Version 1 on)
	SnapshotChunkResponse                    // Offset: so much of it has come; Reject: go on from there
)

// Message goes between registers. To is the id that it is meant for; another at that address drops it.
type Message struct {
	Kind               MessageKind
	From, To           ID
	Term               uint64
	Index, LogTerm     uint64
	Commit             uint64
	Entries            []Entry
	Reject             bool
	Hint               uint64
	HeartbeatRound     uint64 // round of beats that an Appended answers
	Snapshot           *Snapshot
	Addr               string // of a Join, and where to answer
	Members            []Member
	ConfigurationIndex uint64
	ProtocolVersion    uint32 // what the sender speaks; Ready sets it
	Offset, TotalBytes uint64 // of a Chunk, in bytes of the snapshot's data
	Checksum           uint32 // CRC-32C of all of the data
	Leaving            bool   // the sender is told to end; Ready sets it
}

// leadershipTransferHint is the Hint of an Elect that the leader asked for: those who hear of it vote all the same.
const leadershipTransferHint = 1
