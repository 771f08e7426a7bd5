// Package shares divides rations unevenly where use is uneven: a member that has little use for its part lends of it to
// members that want more. It is pure; time is an argument.
//
// What a member may take of a ration is its part of the divisor, less what it has lent, and what was lent to it. A loan
// rides on a beat that echoes one of the borrower's, and ends for the borrower so long after *it* sent what is echoed;
// the lender counts it as lent so long after it sent the loan, which is later. So a loan is never held by both, however
// late messages come, and ends by itself when nobody is heard any more. A lender lends nothing beyond its own standing
// (membership.Share.Until): whoever would take its part over does so after that. The sum of all therefore stays within
// the whole whenever the parts of the divisor do.
package shares

import (
	"cmp"
	"slices"
	"time"
)

// Ration names one of those that are lent of.
type Ration uint32

// Bounds on what a message holds.
const (
	MaxWants = 16
	MaxLoans = 16
)

// Want is what a member would take of a ration if it might: a share of the whole, over 1 if that is not enough.
type Want struct {
	Ration Ration
	Share  float64
}

// Loan is a part of the whole of a ration that is lent for a time.
type Loan struct {
	Ration Ration
	Part   float64
	For    time.Duration
}

const (
	keep   = 0.1  // of its own part that a member never lends: new use must begin somewhere
	spare  = 1.25 // times its use that a member keeps
	least  = 0.01 // of the whole that is worth lending
	memory = 4    // times the lease that what a member wants is remembered for
	drift  = 0.05 // that clocks may differ by over a loan
)

// Book is one member's.
type Book struct {
	lease  time.Duration
	wants  map[Ration]float64
	others map[string]*other
	lent   map[Ration]map[string]term
	owed   map[Ration]map[string]term // lent to this member, by whom
}

type other struct {
	at    time.Duration
	wants []Want
}

type term struct {
	part  float64
	until time.Duration
}

// NewBook returns an empty book.
func NewBook(lease time.Duration) *Book {
	return &Book{lease: lease, wants: map[Ration]float64{}, others: map[string]*other{}, lent: map[Ration]map[string]term{}, owed: map[Ration]map[string]term{}}
}

// Want says what this member would take of a ration.
func (b *Book) Want(r Ration, share float64) {
	if !(share > 0) {
		delete(b.wants, r)
		return
	}
	b.wants[r] = min(share, 10)
}

// Wants are what this member tells the others: the largest, if there are too many.
func (b *Book) Wants() (l []Want) {
	for r, s := range b.wants {
		l = append(l, Want{r, s})
	}
	slices.SortFunc(l, func(x, y Want) int {
		return cmp.Or(cmp.Compare(y.Share, x.Share), cmp.Compare(x.Ration, y.Ration))
	})
	return l[:min(len(l), MaxWants)]
}

// Heard takes what a member wants, and what it lends; sent is when this member sent what the message echoes, zero: it
// echoes nothing, and no loan counts.
func (b *Book) Heard(now time.Duration, from string, wants []Want, loans []Loan, sent time.Duration) {
	o := b.others[from]
	if o == nil {
		o = &other{}
		b.others[from] = o
	}
	o.at, o.wants = now, wants
	if sent == 0 {
		return
	}
	for _, l := range loans {
		if !(l.Part > 0 && l.Part <= 1) || l.For <= 0 || l.For > b.lease {
			continue
		}
		m := b.owed[l.Ration]
		if m == nil {
			if len(b.owed) >= 64*MaxLoans {
				continue
			}
			m = map[string]term{}
			b.owed[l.Ration] = m
		}
		m[from] = term{l.Part, sent + l.For}
	}
}

// Forget drops what is remembered of those who are not among these.
func (b *Book) Forget(now time.Duration, known func(string) bool) {
	for name, o := range b.others {
		if !known(name) || now-o.at > memory*b.lease {
			delete(b.others, name)
		}
	}
	for _, all := range []map[Ration]map[string]term{b.lent, b.owed} {
		for r, m := range all {
			for name, t := range m {
				if now >= t.until {
					delete(m, name)
				}
			}
			if len(m) == 0 {
				delete(all, r)
			}
		}
	}
}

// out is what is lent of a ration now.
func (b *Book) out(now time.Duration, r Ration) (sum float64) {
	for _, t := range b.lent[r] {
		if now < t.until {
			sum += t.part
		}
	}
	return sum
}

// Part is what this member may take of a ration at that time, part being its own of the divisor, 0 without standing; and until
// when that holds if nothing more is heard.
func (b *Book) Part(now time.Duration, r Ration, part float64) (float64, time.Duration) {
	sum, until := max(0, part-b.out(now, r)), time.Duration(1<<62)
	if part > 0 {
		for _, t := range b.owed[r] {
			if now < t.until {
				sum += t.part
				until = min(until, t.until)
			}
		}
	}
	return min(1, sum), until
}

// Lend decides what goes to a member in the next message to it, and counts that as lent. part is this member's own of the
// divisor and until the end of its standing; counted are those whom the divisor counts.
func (b *Book) Lend(now time.Duration, to string, part float64, until time.Duration, counted func(string) bool) (l []Loan) {
	o := b.others[to]
	lasts := min(b.lease, until-now)
	if o == nil || part <= 0 || lasts <= b.lease/4 || now-o.at > b.lease || !counted(to) {
		return nil
	}
	for _, w := range o.wants {
		if w.Share <= part || len(l) == MaxLoans {
			continue
		}
		mine := b.free(part, b.wants[w.Ration])
		// All who have something to spare give as much of it as is wanted, each in step with what it has.
		lack, wanted, has := w.Share-part, 0.0, mine
		for name, x := range b.others {
			if now-x.at > b.lease || !counted(name) {
				continue
			}
			want := 0.0
			for _, y := range x.wants {
				if y.Ration == w.Ration {
					want = y.Share
				}
			}
			wanted += max(0, want-part)
			has += b.free(part, want)
		}
		if mine <= 0 || wanted <= 0 {
			continue
		}
		give := mine * min(1, wanted/has) * lack / wanted
		before := b.lent[w.Ration][to]
		give = min(give, part-(b.out(now, w.Ration)-live(now, before)))
		if give < least {
			continue
		}
		m := b.lent[w.Ration]
		if m == nil {
			m = map[string]term{}
			b.lent[w.Ration] = m
		}
		// A smaller loan does not take back what the larger one before it gave: that one runs out first.
		held := term{give, now + lasts + time.Duration(drift*float64(lasts))}
		if now < before.until && before.part > give {
			held.part = before.part
		}
		m[to] = held
		l = append(l, Loan{w.Ration, give, lasts})
	}
	return l
}

func live(now time.Duration, t term) float64 {
	if now < t.until {
		return t.part
	}
	return 0
}

// free is what a member of that part and use can lend.
func (b *Book) free(part, want float64) float64 { return max(0, part-max(keep*part, spare*want)) }

// Lent and Borrowed are what is lent of a ration now, to others and to this member, for operators.
func (b *Book) Lent(now time.Duration, r Ration) float64 { return b.out(now, r) }

// Borrowed is what was lent to this member.
func (b *Book) Borrowed(now time.Duration, r Ration) (sum float64) {
	for _, t := range b.owed[r] {
		sum += live(now, t)
	}
	return sum
}
