package core

// lastOfFirstBuild is the last kind that Version 0 knows.
const lastOfFirstBuild = Yield

// Version is what this build speaks; it goes with each message. Version 0 is the first, which sends none: it knows neither
// joint configurations nor what came after them, so nothing of that goes to one that speaks it.
const Version = 1

// MessageKind says what a message is.
type MessageKind uint8

// Kinds of messages.
const (
	Append    MessageKind = iota // entries behind Index, LogTerm; also the leader's beat
	Appended                     // Index: so far the log agrees; Reject with Hint: it does not
	Ask                          // would you vote for me
	Asked                        // the answer
	Elect                        // vote for me
	Elected                      // the answer
	Install                      // a snapshot
	Join                         // take me in
	NotMember                    // you are none; Members are
	Yield                        // the leader ends: take over
	Leave                        // a member is told to end (from Version 1 on)
	MayLeave                     // the answer: what it holds is held by those that stay
	Chunk                        // a part of a snapshot (from Version 1 on)
	Chunked                      // Offset: so much of it has come; Reject: go on from there
)

// Message goes between registers. To is the id that it is meant for; another at that address drops it.
type Message struct {
	Kind           MessageKind
	From, To       ID
	Term           uint64
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	Reject         bool
	Hint           uint64
	Seq            uint64 // round of beats that an Appended answers
	Snapshot       *Snapshot
	Addr           string // of a Join, and where to answer
	Members        []Member
	View           uint64
	Version        uint32 // what the sender speaks; Ready sets it
	Offset, Total  uint64 // of a Chunk, in bytes of the snapshot's data
	Sum            uint32 // CRC-32C of all of the data
	Leaving        bool   // the sender is told to end; Ready sets it
}

// yielded is the Hint of an Elect that the leader asked for: those who hear of it vote all the same.
const yielded = 1
