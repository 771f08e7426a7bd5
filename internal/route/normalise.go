package route

import (
	"errors"
	"strings"
)

// Maximum lengths of hosts and paths, in bytes.
const (
	MaxHost = 253      // host name (RFC 1035, section 2.3.4)
	MaxPath = 16 << 10 // path

	maxAddressBytes = 64 // IPv6 address with its opening bracket, without the closing one
	maxPortBytes    = 6  // a colon and the five digits of the largest port
)

// Errors of NormaliseHost and NormalisePath.
var (
	ErrInvalidHost   = errors.New("the host is no name or address")
	ErrInvalidPath   = errors.New("the path does not begin with a slash, or is too long")
	ErrInvalidEscape = errors.New("the path has a broken or forbidden escape")
	ErrAboveRoot     = errors.New("the path leads above its root")
)

// NormaliseHost normalises the value of a Host field or :authority (RFC 9110, section 7.2) for matching: to lower case,
// without the port and without the one trailing dot of a fully qualified name (RFC 3986, sections 3.2.2 and 6.2.2.1). An
// empty host stays empty and matches only routes for any host. IPv6 addresses keep their brackets. In names only ASCII
// letters, digits, '-', '_' and single dots between labels are accepted: internationalised names must be A-labels
// (RFC 5890).
func NormaliseHost(s string) (string, error) {
	if s == "" {
		return "", nil
	}
	if s[0] == '[' {
		end := strings.IndexByte(s, ']')
		if end < 0 || !isPort(s[end+1:]) || end > maxAddressBytes {
			return "", ErrInvalidHost
		}
		for _, c := range []byte(s[1:end]) {
			if !isHex(c) && c != ':' && c != '.' {
				return "", ErrInvalidHost
			}
		}
		return lowerCase(s[:end+1]), nil
	}
	if i := strings.IndexByte(s, ':'); i >= 0 {
		if !isPort(s[i:]) {
			return "", ErrInvalidHost
		}
		s = s[:i]
	}
	s = strings.TrimSuffix(s, ".")
	if s == "" || len(s) > MaxHost || s[0] == '.' || s[len(s)-1] == '.' || strings.Contains(s, "..") {
		return "", ErrInvalidHost
	}
	for _, c := range []byte(s) {
		if !isAlnum(c) && c != '-' && c != '_' && c != '.' {
			return "", ErrInvalidHost
		}
	}
	return lowerCase(s), nil
}

// isPort reports whether s is empty, or a colon followed by at most five digits.
func isPort(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) > maxPortBytes {
		return false
	}
	for _, c := range []byte(s[1:]) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// lowerCase returns s in lower case, without an allocation if it already is.
func lowerCase(s string) string {
	for _, c := range []byte(s) {
		if 'A' <= c && c <= 'Z' {
			return strings.ToLower(s)
		}
	}
	return s
}

// NormalisePath normalises a path as the caller wrote it (escaped, without query) for matching. In this order:
//
//   - escapes of unreserved characters are decoded, the hexadecimal digits of all others made upper
//     case (RFC 3986, sections 6.2.2.1 and 6.2.2.2); a malformed escape, %00 and control characters
//     are rejected;
//   - an encoded slash or backslash stays encoded and separates nothing; a bare backslash is rejected,
//     since some servers treat it as a slash;
//   - empty segments are merged: //a///b is /a/b; a trailing slash stays;
//   - dot segments are removed (section 5.2.4), whether escaped or not; a path that leads above its
//     root is rejected rather than cut there, because a server may interpret it differently.
//
// The result begins with a slash. Only matching uses it: servers get the path as the caller wrote it.
func NormalisePath(s string) (string, error) {
	if s == "" || s[0] != '/' || len(s) > MaxPath {
		return "", ErrInvalidPath
	}
	if isNormalised(s) {
		return s, nil
	}
	decoded, err := decodeEscapes(s)
	if err != nil {
		return "", err
	}
	return removeDotSegments(decoded)
}

// decodeEscapes decodes the escapes of unreserved characters, and writes the digits of all others in upper case. It returns
// ErrInvalidEscape if the path contains a malformed escape, a control character or a backslash.
func decodeEscapes(s string) (string, error) {
	var b strings.Builder
	b.Grow(len(s))
	for i := 0; i < len(s); i++ {
		c := s[i]
		switch {
		case isControl(c) || c == '\\':
			return "", ErrInvalidEscape
		case c != '%':
			b.WriteByte(c)
			continue
		case i+2 >= len(s) || !isHex(s[i+1]) || !isHex(s[i+2]):
			return "", ErrInvalidEscape
		}
		v := hexValue(s[i+1])<<4 | hexValue(s[i+2])
		switch {
		case isControl(v):
			return "", ErrInvalidEscape
		case isUnreserved(v):
			b.WriteByte(v)
		default:
			b.WriteByte('%')
			b.WriteByte(upperHex(s[i+1]))
			b.WriteByte(upperHex(s[i+2]))
		}
		i += 2
	}
	return b.String(), nil
}

// isNormalised reports whether NormalisePath would return the path unchanged. It covers the common case without an
// allocation; for some normalised paths, such as those with an escape, it returns false.
func isNormalised(s string) bool {
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '%' || c == '\\' || isControl(c):
			return false
		case c == '/' && i+1 < len(s) && (s[i+1] == '/' || s[i+1] == '.'):
			return false
		}
	}
	return true
}

// removeDotSegments merges empty segments and removes dot segments.
func removeDotSegments(s string) (string, error) {
	out := make([]byte, 0, len(s))
	last := "" // the segment of the latest iteration
	for rest := s[1:]; ; {
		segment, remainder, found := strings.Cut(rest, "/")
		last = segment
		switch segment {
		case "", ".":
		case "..":
			if len(out) == 0 {
				return "", ErrAboveRoot
			}
			for out[len(out)-1] != '/' {
				out = out[:len(out)-1]
			}
			out = out[:len(out)-1]
		default:
			out = append(append(out, '/'), segment...)
		}
		if !found {
			break
		}
		rest = remainder
	}
	if last == "" || last == "." || last == ".." {
		out = append(out, '/') // the path ended in a slash or a dot segment, so it names a directory
	}
	return string(out), nil
}

// isControl reports whether c is an ASCII control character.
func isControl(c byte) bool { return c < 0x20 || c == 0x7f }

// isUnreserved reports whether c never needs an escape (RFC 3986, section 2.3).
func isUnreserved(c byte) bool {
	return isAlnum(c) || c == '-' || c == '.' || c == '_' || c == '~'
}

// isAlnum reports whether c is an ASCII letter or digit.
func isAlnum(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// isHex reports whether c is a hexadecimal digit.
func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}

// upperHex returns a hexadecimal digit in upper case.
func upperHex(c byte) byte {
	if 'a' <= c && c <= 'f' {
		return c - 'a' + 'A'
	}
	return c
}
