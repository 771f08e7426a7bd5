package operator

import (
	"fmt"
	"slices"
	"strings"

	"cranegrade/internal/message"
)

// Bounds of [h2].
const (
	maxH2Streams = 10_000
	minH2Window  = 64 << 10 // bytes
	maxH2Window  = 64 << 20 // bytes
)

// listeners reads the addresses to listen on, with what callers over HTTP/2 and proxies may do there. It reports whether the
// file sets the window of HTTP/2.
func (d *document) listeners(t *table, p *Plan) (hasWindow bool) {
	p.Listen = t.textList("listen")
	p.ListenH2 = t.textList("listen_h2")
	h2 := t.tableOrEmpty("h2")
	p.H2 = H2{
		Streams: h2.countBetween("streams", defaultH2Streams, 1, maxH2Streams),
		Window:  h2.countBetween("window", defaultH2Window, minH2Window, maxH2Window),
	}
	hasWindow = h2.has("window")
	h2.rejectUnknownKeys()
	d.extProc(t, p)
	isOfListen := func(f Fault) bool { return strings.HasPrefix(f.Key, "listen") }
	if len(p.Listen)+len(p.ListenH2) == 0 && p.ExtProc == nil && !slices.ContainsFunc(d.faults, isOfListen) {
		t.fault("listen", `missing: the addresses to listen on, as ["127.0.0.1:3000"], or an [ext_proc]`)
	}
	p.Listen = limitAddresses(t, "listen", p.Listen)
	p.ListenH2 = limitAddresses(t, "listen_h2", p.ListenH2)
	checkListenAddresses(t, p)
	return hasWindow
}

// limitAddresses reports a list that is too long, and returns nil for it.
func limitAddresses(t *table, key string, addrs []string) []string {
	if len(addrs) > maxAddresses {
		t.fault(key, "%d addresses, %d at most", len(addrs), maxAddresses)
		return nil
	}
	return addrs
}

// checkListenAddresses checks each address, and that none is listed twice, also for different protocols.
func checkListenAddresses(t *table, p *Plan) {
	all := append(slices.Clone(p.Listen), p.ListenH2...)
	for i, addr := range all {
		key := fmt.Sprintf("listen[%d]", i)
		if i >= len(p.Listen) {
			key = fmt.Sprintf("listen_h2[%d]", i-len(p.Listen))
		}
		if err := checkAddress(addr, listenAddress); err != nil {
			t.fault(key, "%v", err)
		} else if slices.Contains(all[:i], addr) && !strings.HasSuffix(addr, ":0") {
			t.fault(key, "%s stands there twice", addr)
		}
	}
}

// limitH2Window lowers the default window so that all callers together can't send more than the memory for bodies. One body
// of the greatest length always fits.
func (p *Plan) limitH2Window() {
	if p.MemoryMB == 0 {
		return // the memory is not known
	}
	bytesPerCaller := p.Totals.RequestBodies / max(1, p.Totals.DownstreamConns)
	p.H2.Window = int(min(int64(p.H2.Window), max(message.MaxBody, bytesPerCaller)))
}
