package grpc

import (
	"encoding/binary"
	"fmt"
)

// MessagePrefixBytes is the length of what precedes each message: the compressed flag and the length of the message.
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

// Scanner counts the messages of a body that comes in chunks, and keeps none of them. The zero value is at the start of a
// body. It is not safe for concurrent use.
type Scanner struct {
	Count  int // complete messages
	prefix [MessagePrefixBytes]byte
	got    int    // bytes of prefix
	left   uint32 // bytes of the message that are still to come
}

// Scan scans the next chunk. It fails if the body is not made of messages; the scanner must not be used after that.
func (s *Scanner) Scan(chunk []byte) error {
	for len(chunk) > 0 {
		if s.got < MessagePrefixBytes {
			n := copy(s.prefix[s.got:], chunk)
			s.got += n
			chunk = chunk[n:]
			if flag := s.prefix[0]; flag > 1 {
				return fmt.Errorf("message %d has the compressed flag %d", s.Count, flag)
			}
			if s.got < MessagePrefixBytes {
				return nil
			}
			s.left = binary.BigEndian.Uint32(s.prefix[1:])
		}
		n := min(int64(s.left), int64(len(chunk)))
		s.left -= uint32(n)
		chunk = chunk[n:]
		if s.left == 0 {
			s.Count++
			s.got = 0
		}
	}
	return nil
}

// End returns an error if the last message is incomplete.
func (s *Scanner) End() error {
	if s.got != 0 {
		return fmt.Errorf("message %d ends %d bytes too early", s.Count, int64(s.left)+MessagePrefixBytes-int64(s.got))
	}
	return nil
}
