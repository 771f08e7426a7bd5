package raft

// HardState must be on disk before any message that depends on it is sent (Raft paper, figure 2: persistent state).
type HardState struct {
	Term uint64
	// Vote is the candidate that this member voted for in Term, or 0 if it has not voted. If it were lost, the member could vote twice in a
	// term, so that two leaders could be elected (Raft paper, section 5.2).
	Vote ID
}

// StoredState is the persistent state of a member: its ID, which it keeps as long as its disk, and Raft's persistent state.
type StoredState struct {
	Self           ID
	HardState      HardState
	Snapshot       Snapshot
	Entries        []Entry // after Snapshot, without a gap
	CatchUpEntries []Entry // up to the Index of Snapshot, without a gap
}
