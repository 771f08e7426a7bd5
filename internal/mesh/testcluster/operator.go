package testcluster

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"cranegrade/internal/testfleet"
)

// operatorTimeout bounds an operator's call. After a second, callers of the control plane try another member.
const operatorTimeout = time.Second

// Operator calls members through the relay, from its own IP address, so that its paths can be partitioned.
type Operator struct {
	IP      string
	cluster *Cluster
	client  http.Client
}

// Operator returns the operator with a number, which must be below 50.
func (m *Cluster) Operator(n int) *Operator {
	ip := m.ip(firstOperatorIP + n)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Operator{IP: ip, cluster: m, client: http.Client{Timeout: operatorTimeout, Transport: transport}}
}

// PathTo returns the path from an operator to a member.
func (o *Operator) PathTo(to *Machine) testfleet.Direction {
	return testfleet.Direction{From: o.IP, To: to.IP}
}

// Modify sends a change of the configuration. The status is 0 if there was no answer, and the text says why.
func (o *Operator) Modify(at *Machine, body []byte) (status int, text string) {
	return readResponse(o.client.Post(o.url(at, "modify"), "application/json", bytes.NewReader(body)))
}

// Fetch reads the configuration. The status is 0 if there was no answer, and the text says why.
func (o *Operator) Fetch(at *Machine) (status int, text string) {
	return readResponse(o.client.Get(o.url(at, "fetch")))
}

func (o *Operator) url(at *Machine, call string) string {
	return "http://" + o.cluster.addr(at.IP, portRelayedAPI) + "/v1/configuration/" + call
}
