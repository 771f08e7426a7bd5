package shares

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// ErrShares is the reason for a message that holds neither wants nor loans.
var ErrShares = errors.New("not wants and loans")

const whole = math.MaxUint16

// Encode writes wants and loans, rounded so that none grows.
func Encode(wants []Want, loans []Loan) []byte {
	if len(wants)+len(loans) == 0 {
		return nil
	}
	e := binary.LittleEndian
	wants, loans = wants[:min(len(wants), MaxWants)], loans[:min(len(loans), MaxLoans)]
	b := []byte{1, byte(len(wants)), byte(len(loans))}
	for _, w := range wants { // up to ten times the whole
		b = e.AppendUint16(e.AppendUint32(b, uint32(w.Ration)), uint16(min(w.Share, 10)/10*whole))
	}
	for _, l := range loans {
		b = e.AppendUint16(e.AppendUint32(b, uint32(l.Ration)), uint16(min(l.Part, 1)*whole))
		b = e.AppendUint16(b, uint16(min(l.For/time.Millisecond, whole)))
	}
	return b
}

// Decode reads what Encode wrote; nothing is none.
func Decode(b []byte) (wants []Want, loans []Loan, err error) {
	if len(b) == 0 {
		return nil, nil, nil
	}
	if len(b) < 3 || b[0] != 1 || b[1] > MaxWants || b[2] > MaxLoans || len(b) < 3+6*int(b[1])+8*int(b[2]) {
		return nil, nil, ErrShares
	}
	e, n, m := binary.LittleEndian, b[1], b[2]
	b = b[3:]
	for ; n > 0; n, b = n-1, b[6:] {
		wants = append(wants, Want{Ration(e.Uint32(b)), float64(e.Uint16(b[4:])) / whole * 10})
	}
	for ; m > 0; m, b = m-1, b[8:] {
		loans = append(loans, Loan{Ration(e.Uint32(b)), float64(e.Uint16(b[4:])) / whole, time.Duration(e.Uint16(b[6:])) * time.Millisecond})
	}
	return wants, loans, nil
}
