package raft

// StoredState is what a store holds.
type StoredState struct {
	Self           ID
	HardState      HardState
	Snapshot       Snapshot
	Entries        []Entry // behind Snapshot
	CatchUpEntries []Entry // in front of it, up to its Index, without a gap
}
