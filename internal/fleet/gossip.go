package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"log"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/sys/unix"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/shares"
)

// BootTime is elapsed time since the machine started. It goes on while the process, or the machine, is stopped, and no
// clock that is set moves it.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the kernel is older than this program can run on
	}
	return time.Duration(t.Nano())
}

// Kinds of messages between members, in their first byte.
const (
	heartbeatMessage = 1
	rosterMessage    = 2
	// of what a member has seen of servers, in its own name
	digestMessage = 3
)

// rosterInterval bounds how often a member is told the whole roster.
const rosterInterval = time.Second

// delegate is what the gossip calls. It calls back under its own lock, so nothing here calls the gossip.
type delegate struct{ f *Fleet }

// NotifyAlive turns away who does not say in a readable way who it is.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	c, err := membership.DecodeCard(n.Meta)
	if err != nil {
		return err
	}
	if c.Name != n.Name {
		return fmt.Errorf("%w: it is %q's", membership.ErrCard, c.Name)
	}
	return nil
}

func (d delegate) up(n *memberlist.Node) {
	c, err := membership.DecodeCard(n.Meta)
	if err != nil {
		return // it was turned away before
	}
	f, now := d.f, BootTime()
	f.mu.Lock()
	f.view.Up(now, c, n.Address())
	if c.Name != f.cfg.Name {
		if len(f.nodes) < membership.MaxMembers || f.nodes[c.Name].Name != "" {
			f.nodes[c.Name] = memberlist.Node{Name: n.Name, Addr: n.Addr, Port: n.Port}
			f.roster.Join(now, c.Name)
			f.known.Store(int64(len(f.nodes)))
		}
	}
	f.mu.Unlock()
	f.wake()
}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.up(n) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.up(n) }

func (d delegate) NotifyLeave(n *memberlist.Node) {
	f, now, left := d.f, BootTime(), n.State == memberlist.StateLeft
	f.mu.Lock()
	f.view.Down(now, n.Name, left)
	if left {
		f.roster.Remove(now, n.Name) // by its own word, which nobody else can say
	}
	f.mu.Unlock()
	f.wake()
}

func (d delegate) NotifyConflict(_, other *memberlist.Node) {
	c, err := membership.DecodeCard(other.Meta)
	if err != nil {
		return
	}
	d.f.mu.Lock()
	d.f.view.Duplicate(BootTime(), c.Name, c.Run)
	d.f.mu.Unlock()
}

func (d delegate) NodeMeta(limit int) []byte {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	b := d.f.card().Encode()
	return b[:min(len(b), limit)]
}

func (d delegate) NotifyMsg(b []byte) {
	f := d.f
	f.received.Add(int64(len(b)))
	if len(b) == 0 {
		return
	}
	switch b[0] {
	case heartbeatMessage:
		x, rest, err := membership.DecodeHeartbeat(b[1:])
		if err != nil {
			f.unreadable(err)
			return
		}
		wants, loans, err := shares.Decode(rest)
		if err != nil {
			f.unreadable(err)
			return
		}
		f.receiveHeartbeat(x, wants, loans)
	case rosterMessage:
		d.MergeRemoteState(b[1:], false)
	case digestMessage:
		f.receiveDigest(b)
	default: // of a later version
	}
}

// receiveHeartbeat takes a heartbeat, and tells its sender the roster if that seems to know another.
func (f *Fleet) receiveHeartbeat(x membership.Heartbeat, wants []shares.Want, loans []shares.Loan) {
	now := BootTime()
	f.mu.Lock()
	stranger, sent := f.roster.Receive(now, x)
	if _, is := f.nodes[x.From]; is && x.To == membership.NameID(f.cfg.Name) {
		f.loans.Heard(now, x.From, wants, loans, sent)
		if len(loans) > 0 {
			f.wake()
		}
	}
	n, known := f.nodes[x.From]
	if !stranger || !known || f.list == nil || f.closed || now-f.rosterSentAt[x.From] < rosterInterval {
		f.mu.Unlock()
		return
	}
	f.rosterSentAt[x.From] = now
	l, b := f.list, append([]byte{rosterMessage}, membership.EncodeEntries(f.roster.Entries())...)
	f.done.Go(func() {
		if l.SendReliable(&n, b) == nil {
			f.sent.Add(int64(len(b)))
		}
	})
	f.mu.Unlock()
}

func (f *Fleet) unreadable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreadableMessages++; f.unreadableMessages == 1 || f.unreadableMessages%1000 == 0 {
		log.Printf("fleet: %d messages of members could not be read, the last for: %v", f.unreadableMessages, err)
	}
}

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.f.broadcasts.GetBroadcasts(overhead, limit)
}

func (d delegate) LocalState(bool) []byte {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	return membership.EncodeEntries(d.f.roster.Entries())
}

func (d delegate) MergeRemoteState(b []byte, _ bool) {
	l, err := membership.DecodeEntries(b)
	if err != nil {
		d.f.unreadable(err)
		return
	}
	d.f.mu.Lock()
	d.f.roster.Merge(BootTime(), l)
	d.f.mu.Unlock()
	d.f.wake()
}

// transport is the gossip's own, but that it dials from the address that it listens on, as a machine of several wants.
type transport struct {
	*memberlist.NetTransport
	from net.IP
}

func newTransport(host string, port int, to *log.Logger) (*transport, error) {
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, fmt.Errorf("fleet: %q is no IP address to listen on", host)
	}
	var err error
	for range 10 { // a free port for TCP may be taken for UDP
		var t *memberlist.NetTransport
		cfg := &memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: to}
		if t, err = memberlist.NewNetTransport(cfg); err == nil {
			return &transport{t, ip}, nil
		}
		if port != 0 {
			break
		}
	}
	if errors.Is(err, syscall.EADDRINUSE) || bytes.Contains([]byte(err.Error()), []byte("address already in use")) {
		return nil, fmt.Errorf("%w: %s:%d", errInUse, host, port)
	}
	return nil, fmt.Errorf("fleet: %w", err)
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !t.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.from}
	}
	return d.Dial("tcp", addr)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// gossipLog passes on what the gossip says, but not its chatter, and of that not more than a few lines in a time.
type gossipLog struct {
	mu      sync.Mutex
	since   time.Time
	lines   int
	dropped int
}

const (
	logSpan  = 10 * time.Second
	logLines = 5
)

func (g *gossipLog) logger() *log.Logger { return log.New(g, "", 0) }

func (g *gossipLog) Write(b []byte) (int, error) {
	if !bytes.HasPrefix(b, []byte("[WARN]")) && !bytes.HasPrefix(b, []byte("[ERR]")) {
		return len(b), nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.since) > logSpan {
		if g.dropped > 0 {
			log.Printf("fleet: %d further lines of the gossip left out", g.dropped)
		}
		g.since, g.lines, g.dropped = time.Now(), 0, 0
	}
	if g.lines++; g.lines > logLines {
		g.dropped++
		return len(b), nil
	}
	_, text, _ := bytes.Cut(bytes.TrimSpace(b), []byte("memberlist: "))
	if len(text) > maxLogLine {
		text = text[:maxLogLine]
	}
	log.Printf("fleet: %q", text)
	return len(b), nil
}

const maxLogLine = 300
