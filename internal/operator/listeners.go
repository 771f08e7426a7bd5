package operator

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"cranegrade/internal/message"
)

// listeners reads the addresses to listen on, with what callers over HTTP/2 and proxies may do there. windowed: the file
// says the window of HTTP/2 itself.
func (f *document) listeners(t *table, p *Plan) (windowed bool) {
	p.Listen, p.ListenH2 = t.textList("listen"), t.textList("listen_h2")
	h2 := t.tableOrEmpty("h2")
	p.H2 = H2{Streams: h2.countBetween("streams", 250, 1, 10_000), Window: h2.countBetween("window", 1<<20, 64<<10, 64<<20)}
	windowed = h2.has("window")
	h2.rejectUnknownKeys()
	f.extProc(t, p)
	faultyListen := func(x Fault) bool { return strings.HasPrefix(x.Key, "listen") }
	if len(p.Listen)+len(p.ListenH2) == 0 && p.ExtProc == nil && !slices.ContainsFunc(f.faults, faultyListen) {
		t.fault("listen", `missing: the addresses to listen on, as ["127.0.0.1:3000"], or an [ext_proc]`)
	}
	if len(p.Listen) > maxListen {
		t.fault("listen", "%d addresses, %d at most", len(p.Listen), maxListen)
		p.Listen = nil
	}
	if len(p.ListenH2) > maxListen {
		t.fault("listen_h2", "%d addresses, %d at most", len(p.ListenH2), maxListen)
		p.ListenH2 = nil
	}
	f.listenAddresses(t, p)
	return windowed
}

// listenAddresses checks each address, and that none is there twice, over both protocols.
func (f *document) listenAddresses(t *table, p *Plan) {
	all := append(slices.Clone(p.Listen), p.ListenH2...)
	for i, a := range all {
		at := fmt.Sprintf("listen[%d]", i)
		if i >= len(p.Listen) {
			at = fmt.Sprintf("listen_h2[%d]", i-len(p.Listen))
		}
		if err := address(a, true); err != nil {
			t.fault(at, "%v", err)
		} else if slices.Contains(all[:i], a) && !strings.HasSuffix(a, ":0") {
			t.fault(at, "%s stands there twice", a)
		}
	}
}

// limitH2Window keeps what all callers may have on its way at once to no more than there is room for bodies. A single body
// of the longest kind always fits.
func (p *Plan) limitH2Window() {
	if p.MemoryMB > 0 {
		p.H2.Window = int(min(int64(p.H2.Window), max(message.MaxBody, p.Totals.Bodies/max(1, p.Totals.Callers))))
	}
}

// maxListen bounds the addresses that a node listens on.
const maxListen = 64

// address checks a host:port. Port 0 means any free one, which only a listener can have.
func address(s string, listener bool) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return fmt.Errorf("%q is no host:port", s)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > 65535 || n == 0 && !listener {
		return fmt.Errorf("%q has no port between 1 and 65535", s)
	}
	return nil
}

// loopback checks an address that only this machine may reach.
func loopback(s string) error {
	if err := address(s, true); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(s)
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is no loopback address", s)
	}
	return nil
}
