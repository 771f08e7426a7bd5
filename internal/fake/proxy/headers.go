package proxy

import (
	"maps"
	"slices"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// headers are a message's fields by lower-case name, with the pseudo-headers of HTTP/2.
type headers map[string][]string

// get returns the first value of a field; "" if there is none.
func (h headers) get(name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

func (h headers) set(name, value string) { h[name] = []string{value} }

func (h headers) remove(names ...string) {
	for _, name := range names {
		delete(h, strings.ToLower(name))
	}
}

func (h headers) clone() headers {
	c := make(headers, len(h))
	for name, values := range h {
		c[name] = slices.Clone(values)
	}
	return c
}

// apply carries out a mutation that the processor asked for.
func (h headers) apply(m *extproc.HeaderMutation) {
	for _, f := range m.GetSetHeaders() {
		v := string(f.GetHeader().GetRawValue())
		if v == "" {
			v = f.GetHeader().GetValue()
		}
		h.set(strings.ToLower(f.GetHeader().GetKey()), v)
	}
	h.remove(m.GetRemoveHeaders()...)
}

// add adds the headers that a route or a virtual host configures. req are the request's headers, and host is the server that answered,
// "" if there is none.
func (h headers) add(options []*corev3.HeaderValueOption, req headers, host string) {
	for _, o := range options {
		h.set(strings.ToLower(o.GetHeader().GetKey()), formatHeader(o, req, host))
	}
}

// headerMap is the headers as they are sent to the processor.
func headerMap(h headers) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for _, name := range slices.Sorted(maps.Keys(h)) {
		for _, v := range h[name] {
			m.Headers = append(m.Headers, &corev3.HeaderValue{Key: name, RawValue: []byte(v)})
		}
	}
	return m
}

// formatHeader is the value of a header to add. Of the substitutions %REQ(NAME)% and %UPSTREAM_REMOTE_ADDRESS% are modelled.
func formatHeader(o *corev3.HeaderValueOption, req headers, host string) string {
	if host == "" {
		host = "-"
	}
	v := strings.ReplaceAll(o.GetHeader().GetValue(), "%UPSTREAM_REMOTE_ADDRESS%", host)
	for {
		before, rest, found := strings.Cut(v, "%REQ(")
		if !found {
			return v
		}
		name, after, _ := strings.Cut(rest, ")%")
		v = before + req.get(strings.ToLower(name)) + after
	}
}
