package memberselection

import (
	"slices"
	"time"
)

// candidate is an address that may be dialed, together with its dial or connection, if any.
type candidate struct {
	addr        string
	id          ConnID // of the dial or connection; 0 if there is neither
	dialedAt    time.Duration
	established bool // whether the member has sent its first message
	hasLeader   bool // according to the member's latest heartbeat or a confirmation
	backoff     time.Duration
	retryAt     time.Duration // earliest time of the next dial
}

// forgetConnection resets the connection state of the candidate.
func (c *candidate) forgetConnection() {
	c.id = 0
	c.established = false
	c.hasLeader = false
}

// updateCandidates recomputes the candidates from members and seeds. Remaining candidates keep their connections. The followed
// member stays a candidate even if it is neither a member nor a seed any more.
func (s *Selector) updateCandidates() {
	old := s.candidates
	s.candidates = nil
	for _, addr := range slices.Concat(s.members, s.seeds) {
		if candidateByAddr(s.candidates, addr) != nil {
			continue
		}
		c := candidateByAddr(old, addr)
		if c == nil {
			c = &candidate{addr: addr, retryAt: s.now}
		}
		s.candidates = append(s.candidates, c)
	}
	for _, c := range old {
		switch {
		case candidateByAddr(s.candidates, c.addr) != nil:
		case c == s.followed:
			s.candidates = append(s.candidates, c)
		default:
			s.closeCandidate(c, NotAMember)
		}
	}
}

// candidateByAddr returns the candidate with the given address, or nil if there is none.
func candidateByAddr(candidates []*candidate, addr string) *candidate {
	if i := slices.IndexFunc(candidates, func(c *candidate) bool { return c.addr == addr }); i >= 0 {
		return candidates[i]
	}
	return nil
}

// candidateByID returns the candidate whose dial or connection has the given ID, or nil if there is none.
func (s *Selector) candidateByID(id ConnID) *candidate {
	if i := slices.IndexFunc(s.candidates, func(c *candidate) bool { return id != 0 && c.id == id }); i >= 0 {
		return s.candidates[i]
	}
	return nil
}

// dialDueCandidates dials every candidate that has no connection and whose backoff is over.
func (s *Selector) dialDueCandidates() {
	for _, c := range s.candidates {
		if c.id != 0 || s.now < c.retryAt {
			continue
		}
		s.lastID++
		c.id, c.dialedAt = s.lastID, s.now
		s.emit(Action{Kind: Dial, ID: c.id, Addr: c.addr})
	}
}

// closeTimedOutDials aborts the dials that received no first message within DialTimeout. Their addresses are dialed again without
// backoff.
func (s *Selector) closeTimedOutDials() {
	for _, c := range s.candidates {
		if c.id != 0 && !c.established && s.now >= c.dialedAt+DialTimeout {
			s.closeCandidate(c, NoFirstMessage)
			c.retryAt = s.now
		}
	}
}

// closeOthers closes every connection except that of the followed member.
func (s *Selector) closeOthers() {
	for _, c := range s.candidates {
		if c != s.followed && c.id != 0 {
			s.closeCandidate(c, OtherMemberFollowed)
		}
	}
}

// closeCandidate closes a candidate's connection or aborts its dial, if it has either.
func (s *Selector) closeCandidate(c *candidate, reason CloseReason) {
	if c.id != 0 {
		s.emit(Action{Kind: Close, ID: c.id, Reason: reason})
	}
	c.forgetConnection()
}

// emit queues an action for the caller.
func (s *Selector) emit(a Action) { s.actions = append(s.actions, a) }
