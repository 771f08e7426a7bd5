package shares

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// ErrEncoding is returned for bytes that can't be decoded as demands and loans.
var ErrEncoding = errors.New("invalid demands and loans")

const (
	encodingVersion = 1
	headerBytes     = 3 // version, number of demands, number of loans
	demandBytes     = 6 // quota, share in units of maxDemand/fullScale
	loanBytes       = 8 // quota, share in units of 1/fullScale, duration in milliseconds

	// fullScale encodes the largest share and the longest duration.
	fullScale = math.MaxUint16
)

// Encode encodes the first MaxDemands demands and the first MaxLoans loans. It rounds down, so that a borrower never uses more than the
// lender has lent. It returns nil if there are no demands and no loans.
func Encode(demands []Demand, loans []Loan) []byte {
	if len(demands)+len(loans) == 0 {
		return nil
	}
	order := binary.LittleEndian
	demands, loans = demands[:min(len(demands), MaxDemands)], loans[:min(len(loans), MaxLoans)]
	b := []byte{encodingVersion, byte(len(demands)), byte(len(loans))}
	for _, d := range demands {
		b = order.AppendUint32(b, uint32(d.Quota))
		b = order.AppendUint16(b, uint16(min(d.Share, maxDemand)/maxDemand*fullScale))
	}
	for _, l := range loans {
		b = order.AppendUint32(b, uint32(l.Quota))
		b = order.AppendUint16(b, uint16(min(l.Share, 1)*fullScale))
		b = order.AppendUint16(b, uint16(min(l.For/time.Millisecond, fullScale)))
	}
	return b
}

// Decode decodes the result of Encode. The error is ErrEncoding.
func Decode(b []byte) (demands []Demand, loans []Loan, err error) {
	if len(b) == 0 {
		return nil, nil, nil
	}
	if len(b) < headerBytes || b[0] != encodingVersion {
		return nil, nil, ErrEncoding
	}
	demandCount, loanCount := int(b[1]), int(b[2])
	b = b[headerBytes:]
	if demandCount > MaxDemands || loanCount > MaxLoans || len(b) < demandBytes*demandCount+loanBytes*loanCount {
		return nil, nil, ErrEncoding
	}
	order := binary.LittleEndian
	for range demandCount {
		demands = append(demands, Demand{
			Quota: QuotaID(order.Uint32(b)),
			Share: float64(order.Uint16(b[4:])) / fullScale * maxDemand,
		})
		b = b[demandBytes:]
	}
	for range loanCount {
		duration := time.Duration(order.Uint16(b[6:])) * time.Millisecond
		loans = append(loans, Loan{
			Quota: QuotaID(order.Uint32(b)),
			Share: float64(order.Uint16(b[4:])) / fullScale,
			For:   duration,
		})
		b = b[loanBytes:]
	}
	return demands, loans, nil
}
