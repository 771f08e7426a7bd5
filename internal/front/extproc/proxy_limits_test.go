package extproc

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the proxies do, none asks more than its rate and a second's burst, none has more streams than it may,
// and the identities that are kept are bounded.
func TestLimitsProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := proxyLimits{rate: 10, streams: 3}
		now := time.Duration(0)
		asked, open := map[string]float64{}, map[string][]*proxyUsage{}
		for range rapid.IntRange(1, 200).Draw(r, "n") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(r, "gap")) * time.Millisecond
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "id")
			if o := open[id]; len(o) > 0 && rapid.Bool().Draw(r, "end") {
				l.closeStream(o[0])
				open[id] = o[1:]
				continue
			}
			b, ok := l.openStream(now, proxyIdentity{id: id})
			if ok != (len(open[id]) < 3) {
				r.Fatalf("%s has %d streams, one more: %v", id, len(open[id]), ok)
			}
			open[id] = append(open[id], b)
			if l.takeToken(now, b) {
				asked[id]++
			}
			if most := 10 + 10*now.Seconds() + 1e-6; asked[id] > most {
				r.Fatalf("%s asked %v times in %v", id, asked[id], now)
			}
		}
	})
	l := proxyLimits{rate: 1}
	for i := range 5 * maxProxies {
		b, _ := l.openStream(time.Duration(i)*time.Microsecond, proxyIdentity{id: fmt.Sprint("made up ", i)})
		l.takeToken(time.Duration(i)*time.Microsecond, b)
	}
	if len(l.proxies) > maxProxies+1 {
		t.Errorf("%d identities are kept", len(l.proxies))
	}
	many := 0
	for i := range 100 { // of those beyond the bound all share one bucket
		if b, _ := l.openStream(time.Millisecond*30, proxyIdentity{id: fmt.Sprint("another ", i)}); l.takeToken(time.Millisecond*30, b) {
			many++
		}
	}
	if many > 1 {
		t.Errorf("%d questions of made-up proxies, 1 a second are allowed", many)
	}
}
