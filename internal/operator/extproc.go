package operator

import "strings"

// extProc reads [ext_proc]: how proxies ask (docs/extproc.md).
func (f *document) extProc(t *table, p *Plan) {
	x := t.subtable("ext_proc")
	if x == nil {
		return
	}
	p.ExtProc = &ExtProc{
		Listen: x.text("listen", ""), DecisionTimeout: x.duration("decide_within", 150e6), Linger: x.duration("linger", 500e6),
		Retries: x.boolean("retries", false), Streams: x.count("streams", 10_000), Rate: x.number("rate", 0),
		IDHeader: strings.ToLower(x.text("id_header", "x-request-id")), ClearRouteCache: x.boolean("clear_route_cache", false),
		HeadersOnly: x.boolean("headers_only", true), TimeLeft: x.boolean("time_left", false),
		RememberedRequests: x.count("remember", 100_000), ProxyStreams: x.count("proxy_streams", 0),
		RetryHeader: strings.ToLower(x.text("retry_header", defaultRetryHeader)),
	}
	if err := address(p.ExtProc.Listen, true); err != nil {
		x.fault("listen", "%v", err)
	}
	if w := p.ExtProc.DecisionTimeout; w < 1e6 || w > 10e9 {
		x.fault("decide_within", "%v is not between 1ms and 10s", w)
	}
	if l := p.ExtProc.Linger; l < 1e6 || l > 60e9 {
		x.fault("linger", "%v is not between 1ms and 1m", l)
	}
	if n := p.ExtProc.Streams; n < 1 || n > 1<<24 {
		x.fault("streams", "%d is not between 1 and %d", n, 1<<24)
	}
	if n := p.ExtProc.RememberedRequests; n < 1 || n > 1<<24 {
		x.fault("remember", "%d is not between 1 and %d", n, 1<<24)
	}
	if h := p.ExtProc.RetryHeader; h != "" && !isToken(h) {
		x.fault("retry_header", "%q is no name of a header", h)
	} else if x.has("retry_header") && !p.ExtProc.Retries {
		x.fault("retry_header", "is of no effect without retries = true")
	}
	if !isToken(p.ExtProc.IDHeader) {
		x.fault("id_header", "%q is no name of a header", p.ExtProc.IDHeader)
	}
	x.rejectUnknownKeys()
}
