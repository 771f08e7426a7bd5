package testfleet

import (
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
)

// TestForgedMessagesHaveNoEffect has strangers send to members: noise, messages that are truncated, too long or replayed, and members that
// are not what they claim to be. Nobody's place moves, memory does not grow, and little is logged.
func TestForgedMessagesHaveNoEffect(t *testing.T) {
	t.Parallel()
	const (
		maxLogged      = 40     // lines of a member
		maxGrowthKB    = 40_000 // of a member's resident memory
		knownMembers   = 4      // the three, and the one of a later protocol
		laterMember    = "later"
		laterIsRefused = "another protocol"
	)
	key := []byte("0123456789abcdef")
	f := startFleet(t, FleetConfig{MemberCount: 3, ServerCount: 1, Seed: 6, GossipKey: base64.StdEncoding.EncodeToString(key)})
	f.awaitAgreement(t, true, 0, 1, 2)
	_, residentBefore := f.Members[0].Process.Resources()
	sendNoise(t, f.Fabric.ListenAddr(0))
	f.Fabric.SetAllLinks(Link{Duplicate: 1, Jitter: 500 * time.Millisecond}) // replays everything, out of order
	time.Sleep(time.Second)
	f.Fabric.Heal()
	for i, s := range strangers {
		s.join(t, fmt.Sprintf("127.0.3.%d", i+1), key, f.Fabric.PublicAddr(0), f.Fabric.ListenAddr(0))
	}
	// A member of a later protocol takes no share, but nobody can know that it does nothing, so it is shown to operators.
	if !Await(eventTimeout, func() bool {
		role, err := f.Members[0].Role(t.Context())
		return err == nil && role.Differ[laterMember] == laterIsRefused
	}) {
		t.Error("a member of another protocol is not reported")
	}
	for _, m := range f.Members {
		s, err := m.Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if role := s.Pools[0]; !slices.Equal(role.Order, []string{"n0", "n1", "n2"}) {
			t.Errorf("%s counts %v", m.Name, role.Order)
		}
		if len(s.Members) > knownMembers {
			t.Errorf("%s knows %d members", m.Name, len(s.Members))
		}
		if n := strings.Count(m.Process.Tail(), "\n"); n > maxLogged {
			t.Errorf("%s has logged %d lines", m.Name, n)
		}
	}
	if _, resident := f.Members[0].Process.Resources(); residentBefore > 0 && resident > residentBefore+maxGrowthKB {
		t.Errorf("%d kB resident, %d before", resident, residentBefore)
	}
}

// sendNoise sends random datagrams to a member, half of them of a kind that exists, and a part of them by TCP as well. The connections stay
// open until the test ends.
func sendNoise(t *testing.T, addr string) {
	t.Helper()
	const datagrams, messageKinds = 3000, 15
	u, err := net.Dial("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { u.Close() })
	rng := rand.New(rand.NewPCG(6, 6))
	for i := range datagrams {
		b := make([]byte, 1+rng.IntN([]int{10, 100, 1400, 60_000}[i%4]))
		for j := range b {
			b[j] = byte(rng.Uint32())
		}
		if i%2 == 0 {
			b[0] = byte(rng.IntN(messageKinds))
		}
		_, _ = u.Write(b) // some are too long for a datagram of the system
		if i%50 != 0 {
			continue
		}
		if c, err := net.Dial("tcp", addr); err == nil {
			t.Cleanup(func() { c.Close() })
			_, _ = c.Write(b)
		}
	}
}

// stranger is a process that has the fleet's key and is no member that can be counted.
type stranger struct {
	name string
	meta []byte // what it tells of itself
}

var strangers = []stranger{
	{strings.Repeat("n", 10_000), membership.Metadata{Name: "x", Protocol: 1}.Encode()},
	{"noise", []byte("noise")},
	{"other", membership.Metadata{Name: "n1", Protocol: 1}.Encode()},
	{"bad name", membership.Metadata{Name: "bad name", Protocol: 1}.Encode()},
	{"later", membership.Metadata{Name: "later", Protocol: 9, Incarnation: 1, AllPools: true}.Encode()},
}

// join joins the fleet until the test ends, unless the library refuses that.
func (s stranger) join(t *testing.T, ip string, key []byte, seeds ...string) {
	t.Helper()
	c := memberlist.DefaultLocalConfig()
	c.Name, c.Label, c.SecretKey, c.LogOutput = s.name, "cranegrade", key, io.Discard
	c.BindAddr, c.BindPort, c.AdvertiseAddr = ip, 0, ip
	c.Delegate = s
	list, err := memberlist.Create(c)
	if err != nil {
		return
	}
	t.Cleanup(func() { list.Shutdown() })
	_, _ = list.Join(seeds) // refused, as far as the members notice
}

// The methods of memberlist.Delegate: a stranger tells its meta data and nothing else.

func (s stranger) NodeMeta(int) []byte           { return s.meta }
func (stranger) NotifyMsg([]byte)                {}
func (stranger) GetBroadcasts(int, int) [][]byte { return nil }
func (stranger) LocalState(bool) []byte          { return nil }
func (stranger) MergeRemoteState([]byte, bool)   {}
