// Package directory is which lines there are and which server stands beside each, as every process of the mesh holds it.
// It is pure. Each line tells of itself alone, under its own address, with a life and a number that rises; the highest
// of both holds, in whatever order records come and by whatever way.
package directory

import (
	"sort"
	"time"
)

// ServerState is a server's, as the line beside it knows it.
type ServerState uint8

// States of servers.
const (
	ServerNone     ServerState = iota // no server, as far as is known
	ServerReady                       // it beats and says that it is
	ServerDraining                    // it said that it leaves
	ServerDown                        // it can't be reached
)

// Record is what a line tells of itself.
type Record struct {
	Node                  string
	Incarnation, Sequence uint64
	Addr                  string // of its trunk; it names the line
	Zone                  string
	Service               string
	ServerID              string // instance id; "": none
	State                 ServerState
	Slots                 uint32
	Warmup                time.Duration // that the server still needs, when the record was made
	Leaving               bool          // the line itself leaves
	ProtocolVersion       uint32        // the trunk's version that it reads

	ReceivedAt time.Duration // when it came, by the holder's clock; not told
	WarmAt     time.Duration // when its server counts as warm, by the holder's clock; 0: always; not told
}

// isNewerThan says that r is of later than o, both of one line.
func (r Record) isNewerThan(o Record) bool {
	return r.Incarnation > o.Incarnation || r.Incarnation == o.Incarnation && r.Sequence > o.Sequence
}

// Table is the records by address. It is never changed once made.
type Table struct{ records map[string]Record }

// Len is how many lines there are.
func (t Table) Len() int { return len(t.records) }

// Get is the record of a line.
func (t Table) Get(addr string) (Record, bool) { r, is := t.records[addr]; return r, is }

// All are the records in the order that every node shares: by service, then by address.
func (t Table) All() []Record {
	l := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		l = append(l, r)
	}
	sort.Slice(l, func(i, j int) bool {
		return l[i].Service < l[j].Service || l[i].Service == l[j].Service && l[i].Addr < l[j].Addr
	})
	return l
}

// Merge takes records that came now; news are those that were newer than what was held.
func (t Table) Merge(now time.Duration, records []Record) (_ Table, news []Record) {
	var next map[string]Record
	for _, r := range records {
		was, is := t.records[r.Addr]
		if n, changed := next[r.Addr]; changed {
			was, is = n, true
		}
		if r.Addr == "" || is && !r.isNewerThan(was) {
			continue
		}
		r.ReceivedAt = now
		switch { // told once for a server's life: another time would be another start
		case is && was.ServerID == r.ServerID:
			r.WarmAt = was.WarmAt
		case r.Warmup > 0:
			r.WarmAt = now + r.Warmup
		}
		if next == nil {
			next = make(map[string]Record, len(t.records)+1)
			for a, o := range t.records {
				next[a] = o
			}
		}
		next[r.Addr] = r
		news = append(news, r)
	}
	if next == nil {
		return t, nil
	}
	return Table{next}, news
}

// Expire drops lines that nothing was heard of for so long.
func (t Table) Expire(now, silence time.Duration) (_ Table, dropped []Record) {
	for _, r := range t.records {
		if now-r.ReceivedAt > silence {
			dropped = append(dropped, r)
		}
	}
	if len(dropped) == 0 {
		return t, nil
	}
	next := make(map[string]Record, len(t.records))
	for a, r := range t.records {
		if now-r.ReceivedAt <= silence {
			next[a] = r
		}
	}
	return Table{next}, dropped
}
