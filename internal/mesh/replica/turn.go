package replica

import (
	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/patch"
)

// Turn carries out what the core wants, until it wants nothing. It is to be called after each other call, or after several.
// False: the disk does not take what must be on it; the owner calls nothing but Turn until it returns true.
func (r *Replica) Turn() bool {
	if r.unsaved != nil && !r.carryOut(*r.unsaved) {
		return false
	}
	for {
		r.core.Flush()
		ready := r.core.Ready()
		if len(ready.Before)+len(ready.After)+len(ready.Committed)+len(ready.Reads) == 0 && !ready.Must() {
			if r.noteLeader() {
				continue
			}
			return true
		}
		r.sendAll(ready.Before)
		if !r.carryOut(ready) {
			return false // and nothing that rests on it was said
		}
	}
}

// carryOut does all of a Ready that follows its Before; false: it is not on disk.
func (r *Replica) carryOut(ready core.Ready) bool {
	if ready.Must() {
		if !r.env.Save(ready, r.logged) {
			r.unsaved = &ready
			return false
		}
		r.unsaved = nil
		r.noteSaved(ready)
		r.core.Saved(ready)
	}
	r.sendAll(ready.After)
	if ready.Snapshot != nil {
		r.install(*ready.Snapshot)
	}
	r.applyAll(ready.Committed)
	r.answerReads(ready.Reads)
	r.wake()
	if r.core.Logged() > r.compactAt {
		r.compact()
	}
	return true
}

func (r *Replica) noteSaved(ready core.Ready) {
	if n := len(ready.Entries); n > 0 {
		r.logged = ready.Entries[n-1].Index
	} else if ready.Snapshot != nil {
		r.logged = ready.Snapshot.Index
	}
}

// install takes the state of a snapshot that another replica sent.
func (r *Replica) install(s core.Snapshot) {
	if err := r.state.Load(s.Data); err != nil {
		r.log.Error().Err(err).Msg("a snapshot was received that can't be read")
	}
	r.leaderless = Leaderless{}
	r.env.TellSidecars(patch.Wire(r.state.Items.Items()))
	r.env.TellSidecars(r.state.Maintenance.Outs())
	r.env.TellSidecars(r.state.Rules.Bound())
}

func (r *Replica) applyAll(entries []core.Entry) {
	for _, e := range entries {
		clock := r.state.Maintenance.Clock.Stamp
		var o Outcome
		if e.Kind == core.Change {
			o = r.state.Apply(e)
		}
		r.leaderless.entry(e, r.now, r.state.Maintenance.Clock.Stamp != clock)
		r.tellOutcome(o)
		if p, is := r.proposals[e.Index]; is {
			delete(r.proposals, e.Index)
			p.done(o, p.term == e.Term)
		}
	}
}

// tellOutcome tells the sidecars what an entry has changed.
func (r *Replica) tellOutcome(o Outcome) {
	if o.Maintenance && o.Err == nil {
		r.env.TellSidecars(r.state.Maintenance.Outs())
	}
	if len(o.Raised) > 0 {
		if r.core.Leads() {
			r.core.Tell(r.now)
		}
		r.env.TellSidecars(patch.Wire(o.Raised))
	}
	if o.Bound {
		r.env.TellSidecars(r.state.Rules.Bound())
	}
}

func (r *Replica) answerReads(reads []core.Read) {
	for _, x := range reads {
		if done := r.reads[x.ID]; done != nil {
			delete(r.reads, x.ID)
			done(x.Index, x.Index > 0)
		}
	}
}

// wake calls those that waited for what is applied by now.
func (r *Replica) wake() {
	at := r.core.Applied()
	var due, rest []waiter
	for _, w := range r.waiting {
		if w.index <= at {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	r.waiting = rest
	for _, w := range due {
		w.then()
	}
}

// compact has a snapshot of the state stand for the log.
func (r *Replica) compact() {
	snapshot := r.core.Compact(r.core.Applied(), r.state.Save())
	r.env.Compact(snapshot, r.core.Kept())
}
