package membership

import "encoding/binary"

// decoder reads the little-endian fields of a message. Once the message is too short, failed stays set and every further field reads as
// zero, so that callers need to check for an error only once, at the end.
type decoder struct {
	rest   []byte
	failed bool
}

// next returns the next n bytes, or zeros if fewer remain.
func (d *decoder) next(n int) []byte {
	if d.failed || len(d.rest) < n {
		d.failed = true
		return make([]byte, min(n, 8)) // only reads of numbers, of at most 8 bytes, get here
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

// Unsigned integers.
func (d *decoder) uint8() uint8   { return d.next(1)[0] }
func (d *decoder) uint16() uint16 { return binary.LittleEndian.Uint16(d.next(2)) }
func (d *decoder) uint32() uint32 { return binary.LittleEndian.Uint32(d.next(4)) }
func (d *decoder) uint64() uint64 { return binary.LittleEndian.Uint64(d.next(8)) }

// string reads a length byte and a string of that length, at most maxLength bytes.
func (d *decoder) string(maxLength int) string {
	n := int(d.uint8())
	if n > maxLength || d.failed || len(d.rest) < n {
		d.failed = true
		return ""
	}
	return string(d.next(n))
}
