package testcluster

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// sendTimeout bounds a caller's wait for a response. It is longer than the time budget of the request (timeBudgetMS).
const (
	sendTimeout  = 5 * time.Second
	timeBudgetMS = "3000"
)

// Response is the outcome of a request.
type Response struct {
	Attempt, Seal, Body string
	Status              int // 0: no answer
	RetryAfter          string
	PolicyTrace         string // fingerprints of the merged policy and the policy set that applied; "": none
}

// Send sends a request with a new id through a sidecar, and records violations of the protocol in the response. key may be empty.
func (x *Machine) Send(method, path, key string, body []byte) Response {
	sent := Response{Attempt: fmt.Sprintf("a%d", x.cluster.attempts.Add(1))}
	request, err := http.NewRequest(method, "http://"+x.Addr("Outbound")+path, bytes.NewReader(body))
	if err != nil {
		return sent
	}
	request.Host = Host
	request.Header.Set("Attempt-Id", sent.Attempt)
	request.Header.Set("Time-Budget", timeBudgetMS)
	request.Header.Set("Rule-Trace", "1")
	if key != "" {
		request.Header.Set("Operation-Key", key)
	}
	client := http.Client{Timeout: sendTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return sent
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return sent
	}
	head := response.Header
	sent.Status, sent.Body = response.StatusCode, string(text)
	sent.Seal, sent.RetryAfter, sent.PolicyTrace = head.Get("Server-Seal"), head.Get("Retry-After"), head.Get("Rule-Trace")
	x.cluster.Recorder.checkResponse(sent, key, head.Get("Attempt-Id"))
	return sent
}

// checkResponse records violations of the protocol in a response. answered is the attempt that it names.
func (r *Recorder) checkResponse(sent Response, key, answered string) {
	isSuccess := sent.Status/100 == 2
	isRejected := sent.Status == http.StatusServiceUnavailable || sent.Status == http.StatusTooManyRequests
	switch {
	case isSuccess && sent.Seal == "":
		r.recordViolation("MIXED: %s has a success without a seal", sent.Attempt)
	case isSuccess && key == "" && sent.Seal != sealOf(sent.Attempt):
		r.recordViolation("MIXED: %s has %s", sent.Attempt, sent.Seal)
	case answered != sent.Attempt:
		r.recordViolation("MIXED: %s has the answer to %s", sent.Attempt, answered)
	case isRejected && key != "" && len(r.Runs(sent.Attempt)) > 0:
		r.recordViolation("REFUSED: %s has run and is answered %d", sent.Attempt, sent.Status)
	}
}
