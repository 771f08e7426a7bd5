package ads

import (
	"fmt"
	"strings"
	"testing"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
)

func TestStateOfTheWorld(t *testing.T) {
	m := newMachine(false)
	expectActions(t, "subscribe before a stream", m.SetSubscription(0, clusterURL, false, []string{"a", "b"}), "")
	expectActions(t, "stream opened", m.StreamOpened(1*sec, false), "request Cluster [a b] v= n= node")
	expectActions(t, "first response",
		m.HandleResponse(2*sec, sotwResponse(clusterURL, "1", "n1", "a=1", "b=1")),
		"update a=1 b=1; request Cluster [a b] v=1 n=n1")
	expectActions(t, "same version again",
		m.HandleResponse(2*sec, sotwResponse(clusterURL, "1", "n2", "a=1", "b=1")),
		"request Cluster [a b] v=1 n=n2")
	expectActions(t, "one resource changed",
		m.HandleResponse(2*sec, sotwResponse(clusterURL, "2", "n3", "a=2", "b=1")),
		"update a=2; request Cluster [a b] v=2 n=n3")
	expectActions(t, "older version again",
		m.HandleResponse(2*sec, sotwResponse(clusterURL, "1", "n4", "a=1", "b=1")),
		"update a=1; request Cluster [a b] v=1 n=n4")
	expectActions(t, "one invalid resource", m.HandleResponse(2*sec, sotwResponse(clusterURL, "3", "n5", "a=3", "b=bad")),
		"update a=3; notice; request Cluster [a b] v=1 n=n5 NACK(b: it is bad)")
	if r := m.Resources(clusterURL)["b"]; r.Value != "1" || r.Version != "1" || r.RejectionReason != "it is bad" || r.RejectedAt != 2*sec {
		t.Errorf("after a rejected update: %+v", r)
	}
	expectActions(t, "an invalid response removes nothing", m.HandleResponse(2*sec, sotwResponse(clusterURL, "3", "n6", "b=bad")),
		"notice; request Cluster [a b] v=1 n=n6 NACK(b: it is bad)")
	expectActions(t, "a resource that is not named is removed",
		m.HandleResponse(2*sec, sotwResponse(clusterURL, "4", "n7", "b=4")),
		"update b=4 -a; request Cluster [a b] v=4 n=n7")
	if r := m.Resources(clusterURL)["a"]; r.Status != DoesNotExist {
		t.Errorf("a is %v", r.Status)
	}
	expectActions(t, "changed subscription",
		m.SetSubscription(3*sec, clusterURL, false, []string{"b", "c"}),
		"request Cluster [b c] v=4 n=n7")
	expectActions(t, "no longer subscribed to",
		m.HandleResponse(3*sec, sotwResponse(clusterURL, "5", "n8", "a=5", "b=4", "c=5")),
		"update c=5; request Cluster [b c] v=5 n=n8")
	expectActions(t, "subscribe to endpoints",
		m.SetSubscription(3*sec, endpointURL, false, []string{"x", "y"}),
		"request Endpoint [x y] v= n= node")
	expectActions(t, "first endpoints",
		m.HandleResponse(3*sec, sotwResponse(endpointURL, "1", "m1", "x=1")),
		"update x=1; request Endpoint [x y] v=1 n=m1")
	expectActions(t, "endpoints that are not named stay",
		m.HandleResponse(3*sec, sotwResponse(endpointURL, "2", "m2", "y=1")),
		"update y=1; request Endpoint [x y] v=2 n=m2")
	m.StreamClosed()
	expectActions(t, "response after the end of the stream", m.HandleResponse(4*sec, sotwResponse(endpointURL, "3", "m3", "y=2")), "")
	expectActions(t, "new stream to the same control plane",
		m.StreamOpened(5*sec, true),
		"request Cluster [b c] v=5 n= node; request Endpoint [x y] v=2 n= node")
	m.StreamClosed()
	expectActions(t, "new stream to another control plane",
		m.StreamOpened(5*sec, false),
		"request Cluster [b c] v= n= node; request Endpoint [x y] v= n= node")
	expectActions(t, "empty response removes all",
		m.HandleResponse(6*sec, sotwResponse(clusterURL, "1", "k1")),
		"update -b -c; request Cluster [b c] v=1 n=k1")
}

func TestIncremental(t *testing.T) {
	m := newMachine(true)
	m.SetSubscription(0, clusterURL, false, []string{"a", "b"})
	expectActions(t, "stream opened", m.StreamOpened(1*sec, false), "request Cluster +[a b] n= node")
	expectActions(t, "first response",
		m.HandleDeltaResponse(2*sec, deltaResponse(clusterURL, "1", "a=1", "b=1")),
		"update a=1 b=1; request Cluster n=1")
	expectActions(t, "one invalid resource",
		m.HandleDeltaResponse(2*sec, deltaResponse(clusterURL, "2", "a=2", "b=bad")),
		"update a=2; notice; request Cluster n=2 NACK(b: it is bad)")
	expectActions(t, "removal, also of an unknown name",
		m.HandleDeltaResponse(2*sec, deltaResponse(clusterURL, "3", "-a", "-z")),
		"update -a; request Cluster n=3")
	expectActions(t, "removed again", m.HandleDeltaResponse(2*sec, deltaResponse(clusterURL, "4", "-a")), "request Cluster n=4")
	expectActions(t, "added again",
		m.HandleDeltaResponse(2*sec, deltaResponse(clusterURL, "5", "a=1")),
		"update a=1; request Cluster n=5")
	expectActions(t, "same version again", m.HandleDeltaResponse(2*sec, deltaResponse(clusterURL, "6", "a=1")), "request Cluster n=6")
	expectActions(t, "another name inside the resource", m.HandleDeltaResponse(2*sec, &discovery.DeltaDiscoveryResponse{
		TypeUrl:   clusterURL,
		Nonce:     "7",
		Resources: []*discovery.Resource{{Name: "a", Version: "9", Resource: body(clusterURL, "q=1")}},
	}),
		`notice; request Cluster n=7 NACK(a: it is named "q" inside)`)
	expectActions(t, "changed subscription",
		m.SetSubscription(3*sec, clusterURL, false, []string{"b", "c"}),
		"request Cluster +[c] -[a] n=")
	expectActions(t, "requested resource does not exist",
		m.HandleDeltaResponse(3*sec, deltaResponse(clusterURL, "8", "-c")),
		"update -c; request Cluster n=8")
	m.StreamClosed()
	expectActions(t, "new stream to the same control plane", m.StreamOpened(5*sec, true), "request Cluster +[b c] have b:v1 n= node")
	m.StreamClosed()
	expectActions(t, "new stream to another control plane", m.StreamOpened(6*sec, false), "request Cluster +[b c] n= node")
	expectActions(t, "first response of the other",
		m.HandleDeltaResponse(6*sec, deltaResponse(clusterURL, "1", "b=9")),
		"update b=9; request Cluster n=1")
}

// When a delta wildcard subscription moves to another control plane, resources which that does not name
// are removed after the resource timeout.
func TestDeltaWildcardRemovesUnconfirmed(t *testing.T) {
	m := newMachine(true)
	m.SetSubscription(0, clusterURL, true, nil)
	expectActions(t, "stream opened", m.StreamOpened(1*sec, false), "request Cluster +[] n= node")
	m.HandleDeltaResponse(2*sec, deltaResponse(clusterURL, "1", "a=1", "b=1"))
	m.StreamClosed()
	m.StreamOpened(3*sec, false)
	m.HandleDeltaResponse(4*sec, deltaResponse(clusterURL, "1", "a=1"))
	if at, ok := m.NextDeadline(); !ok || at != 18*sec {
		t.Errorf("next deadline %v, %v", at, ok)
	}
	expectActions(t, "before the deadline", m.Advance(17*sec), "")
	expectActions(t, "at the deadline", m.Advance(18*sec), "notice; update -b")
}

func TestMalformedResponses(t *testing.T) {
	m := newMachine(false)
	m.SetSubscription(0, clusterURL, false, []string{"a", "b", "c"})
	m.StreamOpened(0, false)
	expectActions(t, "unknown type", m.HandleResponse(1, sotwResponse("type.googleapis.com/test.Other", "1", "n1", "a=1")), "notice")
	expectActions(t, "type that was not requested", m.HandleResponse(1, sotwResponse(endpointURL, "1", "n1", "x=1")), "notice")
	expectActions(t, "without a nonce", m.HandleResponse(1, sotwResponse(clusterURL, "1", "", "a=1")), "notice")
	wrongType := sotwResponse(clusterURL, "1", "n1", "a=1")
	wrongType.Resources = append(wrongType.Resources, body(endpointURL, "b=1"))
	expectActions(t, "resource of another type", m.HandleResponse(1, wrongType),
		`update a=1; notice; request Cluster [a b c] v= n=n1 NACK(resource 1: it is of the type "type.googleapis.com/test.Endpoint")`)
	expectActions(t, "undecodable resource", m.HandleResponse(1, sotwResponse(clusterURL, "2", "n2", "a=2", "\xff\xff")),
		"update a=2; notice; request Cluster [a b c] v= n=n2 NACK(resource 1: it is no resource)")
	expectActions(t, "panic of the decoder", m.HandleResponse(1, sotwResponse(clusterURL, "2", "n3", "a=2", "b=panic")),
		"notice; request Cluster [a b c] v= n=n3 NACK(resource 1: it can't be decoded: decoder)")
	expectActions(t, "duplicate name", m.HandleResponse(1, sotwResponse(clusterURL, "3", "n4", "a=3", "b=1", "a=4")),
		"update b=1; notice; request Cluster [a b c] v= n=n4 NACK(a: it stands there twice)")
	if r := m.Resources(clusterURL)["a"]; r.Value != "2" {
		t.Errorf("a is %v", r.Value)
	}
	response := sotwResponse(clusterURL, "4", "n5", "a=2")
	wrapped, err := proto.Marshal(&discovery.Resource{
		Name:     "b",
		Version:  "7",
		Resource: body(clusterURL, "b=7"),
	})
	if err != nil {
		t.Fatal(err)
	}
	response.Resources = append(response.Resources,
		&anypb.Any{TypeUrl: wrapperURL, Value: wrapped}, &anypb.Any{TypeUrl: wrapperURL, Value: []byte{0xff}})
	got := describe(m.HandleResponse(1, response))
	if !strings.HasPrefix(got, "update b=7; notice; request Cluster [a b c] v= n=n5 NACK(a wrapped resource:") {
		t.Errorf("wrapped: %s", got)
	}
}

func TestOneInvalidResourceInThousand(t *testing.T) {
	m := newMachine(false)
	var resources, names []string
	for i := range 1000 {
		resources = append(resources, fmt.Sprintf("r%d=%d", i, i))
		names = append(names, fmt.Sprint("r", i))
	}
	resources[500] = "r500=bad"
	m.SetSubscription(0, clusterURL, false, []string{"a"})
	m.StreamOpened(0, false)
	m.HandleResponse(1, sotwResponse(clusterURL, "4", "n5", "a=2"))
	m.SetSubscription(2, clusterURL, false, names)
	actions := m.HandleResponse(2, sotwResponse(clusterURL, "5", "n6", resources...))
	if n := len(actions[0].(ResourceUpdate).Updated); n != 999 {
		t.Errorf("%d valid resources applied, want 999", n)
	}
	if s := actions[2].(SendRequest).SotW.ErrorDetail; s.GetMessage() != "r500: it is bad" || s.GetCode() != 3 {
		t.Errorf("rejected with %v", s)
	}
}

// A requested resource that is not received within 15 s on an open stream does not exist.
func TestResourceTimeout(t *testing.T) {
	for _, delta := range []bool{false, true} {
		m := newMachine(delta)
		m.SetSubscription(0, endpointURL, false, []string{"a", "b"})
		if _, ok := m.NextDeadline(); ok {
			t.Error("the timeout runs without a stream")
		}
		m.StreamOpened(1*sec, false)
		if delta {
			m.HandleDeltaResponse(2*sec, deltaResponse(endpointURL, "1", "a=1"))
		} else {
			m.HandleResponse(2*sec, sotwResponse(endpointURL, "1", "1", "a=1"))
		}
		m.StreamClosed()
		if _, ok := m.NextDeadline(); ok {
			t.Error("the timeout runs after the end of the stream")
		}
		m.StreamOpened(10*sec, true)
		if at, ok := m.NextDeadline(); !ok || at != 25*sec {
			t.Errorf("next deadline %v, %v", at, ok)
		}
		expectActions(t, "before the deadline", m.Advance(25*sec-1), "")
		expectActions(t, "at the deadline", m.Advance(25*sec), "notice; update -b")
		expectActions(t, "only once", m.Advance(40*sec), "")
		if delta {
			expectActions(t, "received late",
				m.HandleDeltaResponse(41*sec, deltaResponse(endpointURL, "2", "b=1")),
				"update b=1; request Endpoint n=2")
		} else {
			expectActions(t, "received late",
				m.HandleResponse(41*sec, sotwResponse(endpointURL, "2", "2", "b=1")),
				"update b=1; request Endpoint [a b] v=2 n=2")
		}
	}
}

// A time to live ends unless a heartbeat renews it, also while no stream is open.
func TestTimeToLive(t *testing.T) {
	withTTL := func(nonce string, ttl time.Duration, full bool) *discovery.DeltaDiscoveryResponse {
		r := &discovery.Resource{Name: "a", Version: "1"}
		if ttl > 0 {
			r.Ttl = durationpb.New(ttl)
		}
		if full {
			r.Resource = body(endpointURL, "a=1")
		}
		return &discovery.DeltaDiscoveryResponse{
			TypeUrl:   endpointURL,
			Nonce:     nonce,
			Resources: []*discovery.Resource{r},
		}
	}
	m := newMachine(true)
	m.SetSubscription(0, endpointURL, false, []string{"a"})
	m.StreamOpened(0, false)
	expectActions(t, "with a time to live", m.HandleDeltaResponse(1*sec, withTTL("1", 10*sec, true)), "update a=1; request Endpoint n=1")
	expectActions(t, "heartbeat", m.HandleDeltaResponse(6*sec, withTTL("2", 10*sec, false)), "request Endpoint n=2")
	if at, ok := m.NextDeadline(); !ok || at != 16*sec {
		t.Errorf("next deadline %v, %v", at, ok)
	}
	m.StreamClosed()
	expectActions(t, "before the deadline", m.Advance(15*sec), "")
	expectActions(t, "at the deadline", m.Advance(16*sec), "notice; update -a")
	m.StreamOpened(17*sec, true)
	expectActions(t, "heartbeat of a removed resource",
		m.HandleDeltaResponse(18*sec, withTTL("1", 10*sec, false)),
		"request Endpoint n=1")
	expectActions(t, "added again without a time to live",
		m.HandleDeltaResponse(19*sec, withTTL("2", 0, true)),
		"update a=1; request Endpoint n=2")
	if _, ok := m.NextDeadline(); ok {
		t.Error("a deadline without a time to live")
	}
}

// In the SotW variant a time to live stands in a wrapper round the resource.
func TestTimeToLiveOfWrappedResource(t *testing.T) {
	m := newMachine(false)
	m.SetSubscription(0, endpointURL, false, []string{"a"})
	m.StreamOpened(0, false)
	response := sotwResponse(endpointURL, "1", "1")
	wrapper, err := anypb.New(&discovery.Resource{
		Name:     "a",
		Resource: body(endpointURL, "a=1"),
		Ttl:      durationpb.New(5 * sec),
	})
	if err != nil {
		t.Fatal(err)
	}
	response.Resources = append(response.Resources, wrapper)
	expectActions(t, "wrapped resource", m.HandleResponse(1*sec, response), "update a=1; request Endpoint [a] v=1 n=1")
	expectActions(t, "at the deadline", m.Advance(6*sec), "notice; update -a")
}

// FuzzHandleResponse feeds arbitrary bytes to both variants.
func FuzzHandleResponse(f *testing.F) {
	for _, seed := range []struct {
		response proto.Message
		delta    bool
	}{
		{sotwResponse(clusterURL, "1", "n", "a=1", "b=bad", "a=2"), false},
		{deltaResponse(clusterURL, "n", "a=1", "-b", "c"), true},
	} {
		text, err := proto.Marshal(seed.response)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text, seed.delta)
	}
	f.Fuzz(func(t *testing.T, text []byte, delta bool) {
		m := newMachine(delta)
		m.SetSubscription(0, clusterURL, true, nil)
		m.SetSubscription(0, endpointURL, false, []string{"a"})
		m.StreamOpened(0, false)
		var actions []Action
		if delta {
			response := &discovery.DeltaDiscoveryResponse{}
			if proto.Unmarshal(text, response) != nil {
				return
			}
			actions = m.HandleDeltaResponse(1, response)
		} else {
			response := &discovery.DiscoveryResponse{}
			if proto.Unmarshal(text, response) != nil {
				return
			}
			actions = m.HandleResponse(1, response)
		}
		answers := 0
		for _, a := range actions {
			if _, isRequest := a.(SendRequest); isRequest {
				answers++
			}
		}
		if answers > 1 {
			t.Fatalf("%d answers to one response", answers)
		}
		m.Advance(100 * sec)
	})
}
