package ads

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMachineProperty plays events in any order against a model: the machine holds what the control plane
// last sent of each name that is subscribed to, answers every response once with its nonce, and does not
// panic.
func TestMachineProperty(t *testing.T) {
	for _, delta := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			m := newMachineModel(delta)
			t.Repeat(map[string]func(*rapid.T){
				"subscribe": m.subscribe,
				"open":      m.open,
				"close":     m.close,
				"response":  m.respond,
				"time":      m.advance,
				"":          m.check,
			})
		})
	}
}

// valuesByType holds values by type URL and name.
type valuesByType map[string]map[string]string

// machineModel is a machine with what it ought to hold.
type machineModel struct {
	machine *Machine
	delta   bool
	now     time.Duration

	streamOpen bool
	subscribed map[string]map[string]bool
	requested  map[string]bool // types that were requested on this stream
	nonce      int
	expected   valuesByType // what the control plane has sent
	notified   valuesByType // what updates have said
}

var modelNames = []string{"a", "b", "c", "d"}

func newMachineModel(delta bool) *machineModel {
	return &machineModel{
		machine:    newMachine(delta),
		delta:      delta,
		now:        1,
		subscribed: map[string]map[string]bool{clusterURL: {}, endpointURL: {}},
		requested:  map[string]bool{},
		expected:   valuesByType{clusterURL: {}, endpointURL: {}},
		notified:   valuesByType{clusterURL: {}, endpointURL: {}},
	}
}

func drawType(t *rapid.T) string {
	return rapid.SampledFrom([]string{clusterURL, endpointURL}).Draw(t, "type")
}

// play carries actions out and returns the requests among them.
func (m *machineModel) play(t *rapid.T, actions []Action) (requests []SendRequest) {
	for _, a := range actions {
		switch a := a.(type) {
		case ResourceUpdate:
			for _, r := range a.Updated {
				if m.notified[a.TypeURL][r.Name] == r.Value.(string) {
					t.Fatalf("an update of %s, which has not changed", r.Name)
				}
				m.notified[a.TypeURL][r.Name] = r.Value.(string)
			}
			for _, name := range a.Removed {
				delete(m.notified[a.TypeURL], name)
			}
		case SendRequest:
			if !m.streamOpen {
				t.Fatal("a request without a stream")
			}
			requests = append(requests, a)
			if a.SotW != nil {
				m.requested[a.SotW.TypeUrl] = true
			} else {
				m.requested[a.Delta.TypeUrl] = true
			}
		}
	}
	return requests
}

func (m *machineModel) subscribe(t *rapid.T) {
	url := drawType(t)
	names := rapid.SliceOfDistinct(rapid.SampledFrom(modelNames), rapid.ID[string]).Draw(t, "names")
	m.subscribed[url] = map[string]bool{}
	for _, name := range names {
		m.subscribed[url][name] = true
	}
	for name := range m.expected[url] {
		if !m.subscribed[url][name] {
			delete(m.expected[url], name)
			delete(m.notified[url], name)
		}
	}
	m.play(t, m.machine.SetSubscription(m.now, url, false, names))
}

func (m *machineModel) open(t *rapid.T) {
	if m.streamOpen {
		t.Skip("open")
	}
	m.streamOpen = true
	m.requested = map[string]bool{}
	for _, r := range m.play(t, m.machine.StreamOpened(m.now, rapid.Bool().Draw(t, "same"))) {
		if r.SotW != nil && (r.SotW.Node == nil || r.SotW.ResponseNonce != "") ||
			r.Delta != nil && (r.Delta.Node == nil || r.Delta.ResponseNonce != "") {
			t.Fatalf("a first request %v", r)
		}
	}
}

func (m *machineModel) close(*rapid.T) {
	m.streamOpen = false
	m.machine.StreamClosed()
}

// modelResponse is a response of the control plane.
type modelResponse struct {
	resources []string          // as the helpers of responses take them, removals included
	values    map[string]string // by name; "" for an invalid resource
	removed   []string
	invalid   bool
}

func (m *machineModel) drawResponse(t *rapid.T) modelResponse {
	r := modelResponse{values: map[string]string{}}
	for range rapid.IntRange(0, 4).Draw(t, "resources") {
		name := rapid.SampledFrom(modelNames).Draw(t, "name")
		value := rapid.SampledFrom([]string{"1", "2", "bad"}).Draw(t, "value")
		if _, duplicate := r.values[name]; duplicate {
			t.Skip("duplicate names have a test of their own")
		}
		r.resources = append(r.resources, name+"="+value)
		if value == "bad" {
			r.invalid = true
			value = ""
		}
		r.values[name] = value
	}
	if m.delta {
		for _, name := range modelNames {
			if _, named := r.values[name]; !named && rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				r.removed = append(r.removed, name)
				r.resources = append(r.resources, "-"+name)
			}
		}
	}
	return r
}

func (m *machineModel) respond(t *rapid.T) {
	url := drawType(t)
	m.nonce++
	nonce := fmt.Sprint(m.nonce)
	response := m.drawResponse(t)
	ignored := !m.streamOpen || !m.requested[url]
	var requests []SendRequest
	if m.delta {
		requests = m.play(t, m.machine.HandleDeltaResponse(m.now, deltaResponse(url, nonce, response.resources...)))
	} else {
		requests = m.play(t, m.machine.HandleResponse(m.now, sotwResponse(url, "v"+nonce, nonce, response.resources...)))
	}
	if ignored {
		if len(requests) != 0 {
			t.Fatalf("a response that is to be ignored was answered: %v", requests)
		}
		return
	}
	if len(requests) != 1 {
		t.Fatalf("%d answers to one response", len(requests))
	}
	checkAnswer(t, requests[0], nonce, response.invalid)
	m.expect(url, response)
}

// checkAnswer checks that a request is the ACK, or the NACK, of the response with this nonce and version.
func checkAnswer(t *rapid.T, r SendRequest, nonce string, invalid bool) {
	got, rejected := r.Delta.GetResponseNonce(), r.Delta.GetErrorDetail() != nil
	if r.SotW != nil {
		got, rejected = r.SotW.ResponseNonce, r.SotW.ErrorDetail != nil
		if rejected != (r.SotW.VersionInfo != "v"+nonce) {
			t.Fatalf("rejected %v, version %s", rejected, r.SotW.VersionInfo)
		}
	}
	if got != nonce || rejected != invalid {
		t.Fatalf("nonce %s answered with %s, rejected %v, invalid %v", nonce, got, rejected, invalid)
	}
}

// expect applies a response to the model.
func (m *machineModel) expect(url string, response modelResponse) {
	for name, value := range response.values {
		if value != "" && m.subscribed[url][name] {
			m.expected[url][name] = value
		}
	}
	for _, name := range response.removed {
		delete(m.expected[url], name)
	}
	if !m.delta && url == clusterURL && !response.invalid {
		for name := range m.expected[url] {
			if _, named := response.values[name]; !named {
				delete(m.expected[url], name)
			}
		}
	}
}

func (m *machineModel) advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * sec
	m.play(t, m.machine.Advance(m.now))
	if at, ok := m.machine.NextDeadline(); ok && at <= m.now {
		t.Fatalf("the next deadline is %v, and it is %v", at, m.now)
	}
}

func (m *machineModel) check(t *rapid.T) {
	for _, url := range []string{clusterURL, endpointURL} {
		stored := map[string]string{}
		for name, r := range m.machine.Resources(url) {
			if r.Status == Received {
				stored[name] = r.Value.(string)
			}
			if !m.subscribed[url][name] {
				t.Fatalf("%s is stored and not subscribed to", name)
			}
		}
		if !maps.Equal(stored, m.expected[url]) || !maps.Equal(m.notified[url], m.expected[url]) {
			t.Fatalf("%s: stored %v, updates say %v, the model has %v", url, stored, m.notified[url], m.expected[url])
		}
	}
}
