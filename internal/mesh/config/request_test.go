package config

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// The error of an invalid request names the item and the field.
func TestInvalidRequestNamesItemAndField(t *testing.T) {
	route := routeJSON("r", "s", 3, "")
	request := upsertRequest(route, "")
	replaced := func(old, replacement string) string { return strings.Replace(request, old, replacement, 1) }
	for _, test := range []struct{ name, request, want string }{
		{"truncated", request[:90], "read whole"},
		{"time-out of zero", replaced(`"TimeoutS":2`, `"TimeoutS":0`), "route r: ForwardAction.TimeoutS"},
		{"no attempt", replaced(`"RetryCount":2`, `"RetryCount":0`), "route r: ForwardAction.RetryCount"},
		{"latency target far beyond the time-out", replaced(`"TargetLatencyS":0.8`, `"TargetLatencyS":62`), "route r: TargetLatencyS"},
		{"weights of zero", replaced(`"Service":"s"`, `"TrafficSplit":[{"Service":"s","Weight":0}]`), "weights sum to 0"},
		{"no host", replaced("h.example", ""), "HostName is empty"},
		{"prefix without slashes", replaced(`"/p/"`, `"p"`), "PathPrefix"},
		{"two contents of one version", upsertRequest(route+","+routeJSON("r", "t", 3, ""), ""), "twice"},
		{"no items", `{}`, "no items"},
		{"data after the request", request + "x", "after the end"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseItems([]byte(test.request))
			assert.ErrorContains(t, err, test.want)
			assert.Assert(t, errors.Is(err, ErrInvalid), "%v", err)
		})
	}
}

// If a request has several lines, the error names the line of the field.
func TestInvalidRequestNamesLine(t *testing.T) {
	request := "{\"Upsert\":{\"ListenerList\":[{\"HostName\":\"h\",\"PolicyRules\":[\n" + routeJSON("a", "s", 1, "") + ",\n" +
		strings.ReplaceAll(routeJSON("b", "s", 1, ""), ",", ",\n") + "]}]}}"
	for _, test := range []struct{ name, old, replacement, want string }{
		{"route on one line", `"TimeoutS":2`, `"TimeoutS":0`, "line 2: route a: ForwardAction.TimeoutS"},
		{"route on several lines", "\n\"RetryCount\":2", "\n\"RetryCount\":0", "line 11: route b: ForwardAction.RetryCount"},
		{
			"field of another type", "\n\"RetryCount\":2", "\n\"RetryCount\":\"two\"",
			"line 11: a rule of host h: ForwardAction.RetryCount is a string",
		},
		{"invalid JSON", "\n\"Priority\":2,", "\n\"Priority\":2", "line 7: the call: can't be read whole"},
		{"removal", "]}]}}", "]}]},\n\"Remove\":{\"RouteTable\":[\n{\"Name\":\"\"}]}}", "line 13: Remove: route"},
	} {
		t.Run(test.name, func(t *testing.T) {
			broken := strings.Replace(request, test.old, test.replacement, 1)
			assert.Assert(t, broken != request)
			_, err := ParseItems([]byte(broken))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// FuzzParseItems checks that applying the items of any request that can be parsed does not panic.
func FuzzParseItems(f *testing.F) {
	f.Add(upsertRequest(routeJSON("r", "s", 1, ""), serviceJSON("s", 1)))
	f.Fuzz(func(_ *testing.T, text string) {
		if items, err := ParseItems([]byte(text)); err == nil {
			_, _, _ = Table{}.ApplyItems(items)
		}
	})
}
