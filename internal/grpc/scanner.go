package grpc

import (
	"encoding/binary"
	"fmt"
)

// MessagePrefixBytes is the length of the prefix of each message: one byte of compressed flag, four bytes of message length.
const MessagePrefixBytes = 5

// CountMessages returns the number of length-prefixed messages that a body consists of. It fails if the last one is
// incomplete, or if a compressed flag is neither 0 nor 1.
func CountMessages(body []byte) (n int, err error) {
	var s Scanner
	if err := s.Scan(body); err != nil {
		return 0, err
	}
	return s.Count, s.End()
}

// Scanner counts the messages of a body that arrives in chunks, without buffering them. The zero value is ready to scan the
// start of a body. It is not safe for concurrent use.
type Scanner struct {
	Count       int // complete messages
	prefix      [MessagePrefixBytes]byte
	prefixBytes int    // bytes of prefix received
	bytesLeft   uint32 // bytes of the current message that are not received yet
}

// Scan scans the next chunk. It fails on an invalid compressed flag; the scanner must not be used after that.
func (s *Scanner) Scan(chunk []byte) error {
	for len(chunk) > 0 {
		if s.prefixBytes < MessagePrefixBytes {
			n := copy(s.prefix[s.prefixBytes:], chunk)
			s.prefixBytes += n
			chunk = chunk[n:]
			if flag := s.prefix[0]; flag > 1 {
				return fmt.Errorf("message %d has the compressed flag %d", s.Count, flag)
			}
			if s.prefixBytes < MessagePrefixBytes {
				return nil
			}
			s.bytesLeft = binary.BigEndian.Uint32(s.prefix[1:])
		}
		n := min(int64(s.bytesLeft), int64(len(chunk)))
		s.bytesLeft -= uint32(n)
		chunk = chunk[n:]
		if s.bytesLeft == 0 {
			s.Count++
			s.prefixBytes = 0
		}
	}
	return nil
}

// End returns an error if the last message is incomplete.
func (s *Scanner) End() error {
	if s.prefixBytes != 0 {
		return fmt.Errorf("message %d ends %d bytes too early", s.Count, int64(s.bytesLeft)+MessagePrefixBytes-int64(s.prefixBytes))
	}
	return nil
}
