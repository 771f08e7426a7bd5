package memberselection

import (
	"slices"
	"time"
)

// candidate is an address that may be dialed, and its connection if there is one.
type candidate struct {
	addr        string
	id          ConnID // of the dial or connection, or 0 if there is neither
	dialedAt    time.Duration
	established bool // the member has sent its first message
	hasLeader   bool // according to the member's latest heartbeat
	backoff     time.Duration
	retryAt     time.Duration // no dial before
}

// forgetConnection makes the candidate one without a connection.
func (c *candidate) forgetConnection() {
	c.id = 0
	c.established = false
	c.hasLeader = false
}

// updateCandidates recomputes the candidates from members and seeds. Candidates that remain keep their connections, and the
// followed member remains a candidate in any case.
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

// candidateByAddr returns the candidate with an address, or nil if there is none.
func candidateByAddr(candidates []*candidate, addr string) *candidate {
	if i := slices.IndexFunc(candidates, func(c *candidate) bool { return c.addr == addr }); i >= 0 {
		return candidates[i]
	}
	return nil
}

// candidateByID returns the candidate with a dial or connection, or nil if there is none.
func (s *Selector) candidateByID(id ConnID) *candidate {
	if i := slices.IndexFunc(s.candidates, func(c *candidate) bool { return id != 0 && c.id == id }); i >= 0 {
		return s.candidates[i]
	}
	return nil
}

// dialDue dials every candidate without a connection whose backoff is over.
func (s *Selector) dialDue() {
	for _, c := range s.candidates {
		if c.id != 0 || s.now < c.retryAt {
			continue
		}
		s.lastID++
		c.id, c.dialedAt = s.lastID, s.now
		s.emit(Action{Kind: Dial, ID: c.id, Addr: c.addr})
	}
}

// closeSilentDials gives up the dials that have not got a first message within DialTimeout. Their addresses are dialed again
// at once.
func (s *Selector) closeSilentDials() {
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

// closeCandidate closes a candidate's connection or gives up its dial, if it has either.
func (s *Selector) closeCandidate(c *candidate, reason CloseReason) {
	if c.id != 0 {
		s.emit(Action{Kind: Close, ID: c.id, Reason: reason})
	}
	c.forgetConnection()
}

// emit adds an action for the caller.
func (s *Selector) emit(a Action) { s.actions = append(s.actions, a) }
