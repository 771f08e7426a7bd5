package raft

// StoredState is what the disk of a member holds.
type StoredState struct {
	Self           ID
	HardState      HardState
	Snapshot       Snapshot
	Entries        []Entry // after Snapshot, without a gap
	CatchUpEntries []Entry // up to the Index of Snapshot, without a gap
}
