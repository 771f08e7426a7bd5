package membership

import "encoding/binary"

// decoder reads the fields of a message, in little-endian order. Once bytes are missing, failed stays set and every field reads as
// zero, so that a caller checks for an error once, at the end.
type decoder struct {
	rest   []byte
	failed bool
}

// next returns the next n bytes, or zeros if there are not as many.
func (d *decoder) next(n int) []byte {
	if d.failed || len(d.rest) < n {
		d.failed = true
		return make([]byte, min(n, 8)) // callers that get here read a number, of at most 8 bytes
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

// Numbers of 1, 2, 4 and 8 bytes.
func (d *decoder) uint8() uint8   { return d.next(1)[0] }
func (d *decoder) uint16() uint16 { return binary.LittleEndian.Uint16(d.next(2)) }
func (d *decoder) uint32() uint32 { return binary.LittleEndian.Uint32(d.next(4)) }
func (d *decoder) uint64() uint64 { return binary.LittleEndian.Uint64(d.next(8)) }

// string reads a string of at most maxLength bytes behind a byte with its length.
func (d *decoder) string(maxLength int) string {
	n := int(d.uint8())
	if n > maxLength || d.failed || len(d.rest) < n {
		d.failed = true
		return ""
	}
	return string(d.next(n))
}
