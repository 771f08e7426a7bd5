package disk

import (
	"bytes"
	"math/rand/v2"
	"slices"
)

// TearMode is the way in which a loss of power tears a write that was not synced.
type TearMode uint8

// Modes of tearing a write.
const (
	Truncated   TearMode = iota // the file ends within it
	ZeroFilled                  // the file has its length, with zeros from some byte on
	BitsFlipped                 // it is there, with some bits flipped
	SectorsLost                 // it is there, but for some sectors, which are zeros: they reach a disk in any order
)

// sectorBytes is what a disk writes as a unit.
const sectorBytes = 512

// maxFlippedBits is how many bits of a torn write are flipped at most.
const maxFlippedBits = 3

// file is the bytes of one file. Slices that were handed out are never written to: bytes are appended behind them, or replaced.
type file struct {
	cached   []byte  // as processes see it
	synced   []byte  // as of its last sync
	unsynced []write // what was done to it since then
}

// write is one append to a file, or the removal of all its bytes.
type write struct {
	truncate bool
	data     []byte
}

// write appends to the file.
func (f *file) write(p []byte) {
	data := bytes.Clone(p)
	f.cached = append(f.cached, data...)
	f.unsynced = append(f.unsynced, write{data: data})
}

// truncate removes all bytes.
func (f *file) truncate() {
	f.cached = nil
	f.unsynced = append(f.unsynced, write{truncate: true})
}

// sync makes the bytes durable.
func (f *file) sync() {
	f.synced = f.cached[:len(f.cached):len(f.cached)]
	f.unsynced = nil
}

// losePower keeps some of the unsynced writes and tears the one after them.
func (f *file) losePower(rng *rand.Rand, modes []TearMode) {
	if len(f.unsynced) == 0 {
		return
	}
	mode := modes[rng.IntN(len(modes))]
	if mode == SectorsLost {
		f.keep(loseSectors(f.cached, f.firstUnsynced(), rng))
		return
	}
	kept := bytes.Clone(f.synced)
	complete := rng.IntN(len(f.unsynced) + 1)
	for _, w := range f.unsynced[:complete] {
		if w.truncate {
			kept = nil
		}
		kept = append(kept, w.data...)
	}
	if complete < len(f.unsynced) {
		kept = append(kept, tear(f.unsynced[complete].data, rng, mode)...)
	}
	f.keep(kept)
}

// keep makes a content the one that processes see and that is durable.
func (f *file) keep(content []byte) {
	f.cached = content
	f.synced = content
	f.unsynced = nil
}

// firstUnsynced returns the offset of the first byte that was not synced.
func (f *file) firstUnsynced() int {
	if slices.ContainsFunc(f.unsynced, func(w write) bool { return w.truncate }) {
		return 0
	}
	return len(f.synced)
}

// loseSectors returns a copy of a content in which some sectors, as far as they lie behind an offset, are zeros.
func loseSectors(content []byte, from int, rng *rand.Rand) []byte {
	kept := bytes.Clone(content)
	for start := from; start < len(kept); {
		end := min(start-start%sectorBytes+sectorBytes, len(kept))
		if rng.IntN(2) == 0 {
			clear(kept[start:end])
		}
		start = end
	}
	return kept
}

// tear returns what is left of a torn write.
func tear(data []byte, rng *rand.Rand, mode TearMode) []byte {
	if len(data) == 0 {
		return nil
	}
	at := rng.IntN(len(data))
	switch mode {
	case ZeroFilled:
		return append(bytes.Clone(data[:at]), make([]byte, len(data)-at)...)
	case BitsFlipped:
		flipped := bytes.Clone(data)
		for range 1 + rng.IntN(maxFlippedBits) {
			flipped[rng.IntN(len(flipped))] ^= 1 << rng.IntN(8)
		}
		return flipped
	case Truncated, SectorsLost:
	}
	return data[:at]
}

// flipBit flips one bit, in what was synced as well, and returns the offset of its byte.
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
