package raft

// HardState must be on disk before any message that depends on it is sent (Raft paper, figure 2: persistent state).
type HardState struct {
	Term uint64
	// Vote is the candidate that this member voted for in Term, or 0 if it has not voted. A member that forgot it could vote twice in a
	// term, and so elect two leaders (Raft paper, section 5.2).
	Vote ID
}

// StoredState is what the disk of a member holds: its ID for as long as it keeps the disk, and the persistent state of Raft.
type StoredState struct {
	Self           ID
	HardState      HardState
	Snapshot       Snapshot
	Entries        []Entry // after Snapshot, without a gap
	CatchUpEntries []Entry // up to the Index of Snapshot, without a gap
}
