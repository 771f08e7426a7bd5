package raft

// StoredState is what the disk of a member holds.
type StoredState struct {
	Self           ID
	HardState      HardState
	Snapshot       Snapshot
	Entries        []Entry // behind Snapshot, without a gap
	CatchUpEntries []Entry // in front of it, up to its Index, without a gap
}
