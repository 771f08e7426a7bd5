package http1

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// The fields that net/http drops are counted, whether the header section comes at once or byte by byte.
func TestHeadScanner(t *testing.T) {
	for text, want := range map[string][2]int{ // Content-Length and Transfer-Encoding fields
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nTransfer-Encoding: x\r\n":                        {1, 0},
		"\r\nPOST /content-length: HTTP/1.1\ncontent-LENGTH : 1\nTransfer-Encoding:chunked\n\nContent-Length: 2": {0, 1},
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n":                             {1, 1},
		"POST / HTTP/1.1\r\nX-Transfer-Encoding: a\r\nTransfer-Encodings: b\r\n:\r\n\r\n":                        {0, 0},
	} {
		var atOnce, bytewise headScanner
		atOnce.take([]byte(text))
		for _, c := range []byte(text) {
			bytewise.take([]byte{c})
		}
		atOnce.name, bytewise.name = [len(atOnce.name)]byte{}, [len(atOnce.name)]byte{} // of the last field, of no interest
		if !atOnce.done || atOnce.lengths != want[0] || atOnce.codings != want[1] || atOnce != bytewise {
			t.Errorf("%q: at once %+v, byte by byte %+v", text, atOnce, bytewise)
		}
	}
}

// Every Transfer-Encoding and every end of a header section that net/http finds is found here as well.
func FuzzHeadScanner(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\n Content-Length: 3\r\nTransfer-Encoding:chunked\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		var h headScanner
		h.take([]byte(text))
		if r.TransferEncoding != nil && h.codings == 0 {
			t.Fatalf("%q: the Transfer-Encoding was not found", text)
		}
		if !h.done {
			t.Fatalf("%q: the end of the header section was not found", text)
		}
	})
}
