package replica

import (
	"hollyspur/internal/exchange/classmark"
	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/trunk/wire"
)

// maxNotices are kept, the latest.
const maxNotices = 256

// Notice tells an owner what another's change did to a rule of theirs.
type Notice struct {
	Index  uint64           `json:"index"` // of the change
	By     string           `json:"by"`    // "": the mesh's operator
	Effect classmark.Effect `json:"effect"`
}

// Rules is what is agreed on of namespaces' rules, beside the items themselves.
type Rules struct {
	Board   classmark.Board `json:"board"`
	Notices []Notice        `json:"notices,omitempty"`
}

// changed takes a committed call.
func (s *Rules) changed(e core.Entry, c patch.Call, now patch.Table, raised []patch.Item, effects []classmark.Effect) {
	for _, i := range raised {
		if i.Kind.Ruled() {
			s.Board = s.Board.Changed(now.Print(), e.Index)
			break
		}
	}
	for _, x := range effects {
		s.Notices = append(s.Notices, Notice{e.Index, c.By, x})
	}
	if n := len(s.Notices) - maxNotices; n > 0 {
		s.Notices = append([]Notice(nil), s.Notices[n:]...)
	}
}

// Bound says which set of rules binds, for sidecars.
func (s *Rules) Bound() *wire.BoundT {
	return &wire.BoundT{Print: s.Board.Bound, At: s.Board.BoundAt, Held: s.Board.Held}
}
