package operator

import (
	"strings"
	"time"
)

// Bounds of [ext_proc].
const (
	minDecisionTimeout    = time.Millisecond
	maxDecisionTimeout    = 10 * time.Second
	minLinger             = time.Millisecond
	maxLinger             = time.Minute
	maxExtProcStreams     = 1 << 24
	maxRememberedRequests = 1 << 24
)

// extProc reads [ext_proc]: how proxies ask where to send requests (docs/extproc.md).
func (d *document) extProc(t *table, p *Plan) {
	et := t.subtable("ext_proc")
	if et == nil {
		return
	}
	p.ExtProc = &ExtProc{
		Listen:             et.text("listen", ""),
		DecisionTimeout:    et.duration("decide_within", defaultDecisionTimeout),
		Linger:             et.duration("linger", defaultLinger),
		Retries:            et.boolean("retries", false),
		Streams:            et.count("streams", defaultExtProcStreams),
		Rate:               et.number("rate", 0),
		IDHeader:           strings.ToLower(et.text("id_header", defaultIDHeader)),
		ClearRouteCache:    et.boolean("clear_route_cache", false),
		HeadersOnly:        et.boolean("headers_only", true),
		TimeLeft:           et.boolean("time_left", false),
		RememberedRequests: et.count("remember", defaultRememberedRequests),
		ProxyStreams:       et.count("proxy_streams", 0),
		RetryHeader:        strings.ToLower(et.text("retry_header", defaultRetryHeader)),
	}
	p.ExtProc.check(et)
	et.rejectUnknownKeys()
}

// check reports what is out of bounds, and names of headers that can't be.
func (e *ExtProc) check(et *table) {
	if err := checkAddress(e.Listen, listenAddress); err != nil {
		et.fault("listen", "%v", err)
	}
	if e.DecisionTimeout < minDecisionTimeout || e.DecisionTimeout > maxDecisionTimeout {
		et.fault("decide_within", "%v is not between 1ms and 10s", e.DecisionTimeout)
	}
	if e.Linger < minLinger || e.Linger > maxLinger {
		et.fault("linger", "%v is not between 1ms and 1m", e.Linger)
	}
	if e.Streams < 1 || e.Streams > maxExtProcStreams {
		et.fault("streams", "%d is not between 1 and %d", e.Streams, maxExtProcStreams)
	}
	if e.RememberedRequests < 1 || e.RememberedRequests > maxRememberedRequests {
		et.fault("remember", "%d is not between 1 and %d", e.RememberedRequests, maxRememberedRequests)
	}
	if e.RetryHeader != "" && !isToken(e.RetryHeader) {
		et.fault("retry_header", "%q is no name of a header", e.RetryHeader)
	} else if et.has("retry_header") && !e.Retries {
		et.fault("retry_header", "is of no effect without retries = true")
	}
	if !isToken(e.IDHeader) {
		et.fault("id_header", "%q is no name of a header", e.IDHeader)
	}
}
