package disk

import (
	"bytes"
	"math/rand/v2"
	"slices"
)

// TearMode is a way in which a loss of power leaves a write that was not synced.
type TearMode uint8

// Ways to tear a write.
const (
	Truncated   TearMode = iota // the file ends within it
	ZeroFilled                  // the file has its length, but from some byte on zeros
	BitsFlipped                 // it is there, with some bits turned
	SectorsLost                 // all that was written is there, but for some sectors, which are zeros: they reach a disk in any order
)

// sectorBytes is what a disk writes whole, in bytes.
const sectorBytes = 512

// file is one file's bytes. Slices that were handed out are never written to: bytes are appended behind them or replaced.
type file struct {
	cached   []byte  // as processes see it
	synced   []byte  // as of its last sync
	unsynced []write // what was done to it since then
}

// write is one write behind a file's end, or the removal of all its bytes.
type write struct {
	truncate bool
	data     []byte
}

func (f *file) write(p []byte) {
	data := bytes.Clone(p)
	f.cached = append(f.cached, data...)
	f.unsynced = append(f.unsynced, write{data: data})
}

func (f *file) truncate() {
	f.cached = nil
	f.unsynced = append(f.unsynced, write{truncate: true})
}

func (f *file) sync() {
	f.synced = f.cached[:len(f.cached):len(f.cached)]
	f.unsynced = nil
}

// losePower keeps some of the unsynced writes, and tears the next one.
func (f *file) losePower(rng *rand.Rand, tears []TearMode) {
	if len(f.unsynced) == 0 {
		return
	}
	how := tears[rng.IntN(len(tears))]
	if how == SectorsLost {
		left := loseSectors(f.cached, f.firstUnsynced(), rng)
		f.cached, f.synced, f.unsynced = left, left, nil
		return
	}
	kept := bytes.Clone(f.synced)
	whole := rng.IntN(len(f.unsynced) + 1)
	for _, w := range f.unsynced[:whole] {
		if w.truncate {
			kept = nil
		}
		kept = append(kept, w.data...)
	}
	if whole < len(f.unsynced) {
		kept = append(kept, tear(f.unsynced[whole].data, rng, how)...)
	}
	f.cached, f.synced, f.unsynced = kept, kept, nil
}

// firstUnsynced is where the bytes begin that were not synced.
func (f *file) firstUnsynced() int {
	if slices.ContainsFunc(f.unsynced, func(w write) bool { return w.truncate }) {
		return 0
	}
	return len(f.synced)
}

// loseSectors is a file of which some sectors, or what lies of them behind a byte, are zeros.
func loseSectors(content []byte, from int, rng *rand.Rand) []byte {
	left := bytes.Clone(content)
	for start := from; start < len(left); {
		end := min(start-start%sectorBytes+sectorBytes, len(left))
		if rng.IntN(2) == 0 {
			clear(left[start:end])
		}
		start = end
	}
	return left
}

// tear is what a torn write leaves.
func tear(data []byte, rng *rand.Rand, how TearMode) []byte {
	if len(data) == 0 {
		return nil
	}
	at := rng.IntN(len(data))
	switch how {
	case ZeroFilled:
		return append(bytes.Clone(data[:at]), make([]byte, len(data)-at)...)
	case BitsFlipped:
		turned := bytes.Clone(data)
		for range 1 + rng.IntN(3) {
			turned[rng.IntN(len(turned))] ^= 1 << rng.IntN(8)
		}
		return turned
	}
	return data[:at]
}

// flipBit turns one bit, also in what was synced, and says where.
func (f *file) flipBit(rng *rand.Rand) int {
	at, bit := rng.IntN(len(f.cached)), byte(1)<<rng.IntN(8)
	f.cached = bytes.Clone(f.cached)
	f.cached[at] ^= bit
	if at < len(f.synced) {
		f.synced = bytes.Clone(f.synced)
		f.synced[at] ^= bit
	}
	return at
}
