package testfleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link is what may be wrong with the way from one process to another, in that direction. The zero Link is sound.
type Link struct {
	Cut       bool          `json:"cut,omitempty"`       // nothing passes, and nobody is told
	Refuse    bool          `json:"refuse,omitempty"`    // connections are reset, new ones at once
	Loss      float64       `json:"loss,omitempty"`      // share of datagrams that don't come
	Duplicate float64       `json:"duplicate,omitempty"` // share that comes twice
	Delay     time.Duration `json:"delay,omitempty"`
	Jitter    time.Duration `json:"jitter,omitempty"` // up to so much more, so that datagrams overtake each other
	Rate      int           `json:"rate,omitempty"`   // bytes a second; 0: no limit
}

// Fabric stands on every way between processes, for UDP and TCP. Process i has the address 127.0.1.i+1 and dials
// from it, all others know it as 127.0.2.i+1, which is the fabric's; so it tells by the two addresses who sends to
// whom, and a process that answers a datagram answers through it.
type Fabric struct {
	port        int
	packetConns []*net.UDPConn
	listeners   []*net.TCPListener
	goroutines  sync.WaitGroup
	closing     chan struct{}

	mu        sync.Mutex // guards what follows
	links     map[[2]int]Link
	rng       *rand.Rand
	idleAt    map[[2]int]time.Time // when a limited link has sent what it has
	bytesSent map[[2]int]int64     // that were sent to a link, by direction
	conns     map[net.Conn][2]int
}

// MostProcesses is how many a fabric can connect.
const MostProcesses = 100

// NewFabric connects n processes by addresses of a port that is free at all of them.
func NewFabric(n int, seed uint64) (*Fabric, error) {
	if n > MostProcesses {
		return nil, fmt.Errorf("%d processes, %d at most", n, MostProcesses)
	}
	var err error
	for range 50 {
		f := &Fabric{
			port: 20_000 + rand.IntN(10_000), closing: make(chan struct{}), links: map[[2]int]Link{}, idleAt: map[[2]int]time.Time{}, bytesSent: map[[2]int]int64{},
			conns: map[net.Conn][2]int{}, rng: rand.New(rand.NewPCG(seed, 0xfab)),
		}
		if err = f.listen(n); err == nil {
			return f, nil
		}
		f.Close()
	}
	return nil, fmt.Errorf("no port is free: %w", err)
}

func listenIP(i int) net.IP { return net.IPv4(127, 0, 1, byte(i+1)) }
func publicIP(i int) net.IP { return net.IPv4(127, 0, 2, byte(i+1)) }

// Own is the address that process i listens on and dials from, Seen the one that others know it by.
func (f *Fabric) ListenAddr(i int) string { return fmt.Sprintf("%v:%d", listenIP(i), f.port) }
func (f *Fabric) PublicAddr(i int) string { return fmt.Sprintf("%v:%d", publicIP(i), f.port) }

func (f *Fabric) listen(n int) error {
	for i := range n {
		// What the process will listen on must be free, too.
		probe, err := net.ListenTCP("tcp", &net.TCPAddr{IP: listenIP(i), Port: f.port})
		if err != nil {
			return err
		}
		probe.Close()
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: publicIP(i), Port: f.port})
		if err != nil {
			return err
		}
		f.packetConns = append(f.packetConns, u)
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: publicIP(i), Port: f.port})
		if err != nil {
			return err
		}
		f.listeners = append(f.listeners, l)
	}
	for i := range n {
		f.goroutines.Go(func() { f.forwardDatagrams(i) })
		f.goroutines.Go(func() { f.acceptStreams(i) })
	}
	return nil
}

// Close ends it and all that goes through it.
func (f *Fabric) Close() {
	close(f.closing)
	for _, u := range f.packetConns {
		u.Close()
	}
	for _, l := range f.listeners {
		l.Close()
	}
	f.mu.Lock()
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.goroutines.Wait()
}

// Set has the way from one process to another be so from now on.
func (f *Fabric) SetLink(from, to int, l Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[[2]int{from, to}] = l
	if l.Refuse {
		for c, way := range f.conns {
			if way == [2]int{from, to} || way == [2]int{to, from} {
				reset(c)
			}
		}
	}
}

// All sets every way.
func (f *Fabric) SetAllLinks(l Link) {
	for i := range f.packetConns {
		for j := range f.packetConns {
			if i != j {
				f.SetLink(i, j, l)
			}
		}
	}
}

// Part cuts every way between processes of different parts. Who is in none is left as it is.
func (f *Fabric) Partition(parts ...[]int) {
	for i, a := range parts {
		for j, b := range parts {
			for _, x := range a {
				for _, y := range b {
					if i != j {
						f.SetLink(x, y, Link{Cut: true})
					}
				}
			}
		}
	}
}

// Heal makes every way sound.
func (f *Fabric) Heal() { f.SetAllLinks(Link{}) }

// Bytes is what a process sent to others since the start, datagrams and streams.
func (f *Fabric) BytesSent(from int) (n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for way, b := range f.bytesSent {
		if way[0] == from {
			n += b
		}
	}
	return n
}

// who is the process of an address; -1: none.
func (f *Fabric) processOf(a net.IP) int {
	a = a.To4()
	if a == nil || a[0] != 127 || a[1] != 0 || a[2] != 1 || int(a[3]) > len(f.packetConns) {
		return -1
	}
	return int(a[3]) - 1
}

// plan is what becomes of a message of so many bytes: how long each copy of it takes, none if it is lost.
func (f *Fabric) schedule(from, to, size int, datagram bool) (copies []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	way := [2]int{from, to}
	f.bytesSent[way] += int64(size)
	l := f.links[way]
	if l.Cut || l.Refuse || datagram && f.rng.Float64() < l.Loss {
		return nil
	}
	n := 1
	if datagram && f.rng.Float64() < l.Duplicate {
		n = 2
	}
	for range n {
		d := l.Delay
		if l.Jitter > 0 {
			d += time.Duration(f.rng.Int64N(int64(l.Jitter)))
		}
		if l.Rate > 0 {
			now := time.Now()
			if f.idleAt[way].Before(now) {
				f.idleAt[way] = now
			}
			f.idleAt[way] = f.idleAt[way].Add(time.Duration(size) * time.Second / time.Duration(l.Rate))
			d += f.idleAt[way].Sub(now)
		}
		copies = append(copies, d)
	}
	return copies
}

// datagrams passes on what is sent to process i.
func (f *Fabric) forwardDatagrams(i int) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := f.packetConns[i].ReadFromUDP(buf)
		if err != nil {
			select {
			case <-f.closing:
				return
			default: // a process that was not there said so
				continue
			}
		}
		j := f.processOf(from.IP)
		if j < 0 {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		for _, d := range f.schedule(j, i, n, true) {
			pass := func() { f.packetConns[j].WriteToUDP(b, &net.UDPAddr{IP: listenIP(i), Port: f.port}) }
			if d == 0 {
				pass()
			} else {
				time.AfterFunc(d, pass)
			}
		}
	}
}

// streams passes on connections to process i.
func (f *Fabric) acceptStreams(i int) {
	for {
		c, err := f.listeners[i].Accept()
		if err != nil {
			return
		}
		j := f.processOf(c.RemoteAddr().(*net.TCPAddr).IP)
		if j < 0 {
			c.Close()
			continue
		}
		f.goroutines.Go(func() { f.forwardStream(c, j, i) })
	}
}

func reset(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		t.SetLinger(0)
	}
	c.Close()
}

// track keeps a connection until its end, unless the fabric or the way ends first.
func (f *Fabric) track(c net.Conn, way [2]int) (ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.closing:
		return false
	default:
	}
	f.conns[c] = way
	return !f.links[way].Refuse && !f.links[[2]int{way[1], way[0]}].Refuse
}

func (f *Fabric) forget(c net.Conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	c.Close()
}

// stream is one connection of process j to process i. While a way is cut it stays open and silent, half-open for
// either side; what was sent comes when the way is whole again, as it would be sent again.
func (f *Fabric) forwardStream(c net.Conn, j, i int) {
	defer f.forget(c)
	if !f.track(c, [2]int{j, i}) {
		reset(c)
		return
	}
	if !f.awaitUncut(j, i) || !f.awaitUncut(i, j) {
		return
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: publicIP(j)}, Timeout: 5 * time.Second}
	out, err := d.Dial("tcp", f.ListenAddr(i))
	if err != nil {
		reset(c)
		return
	}
	defer f.forget(out)
	if !f.track(out, [2]int{i, j}) {
		reset(c)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { f.copyStream(out, c, j, i) })
	both.Go(func() { f.copyStream(c, out, i, j) })
	both.Wait()
}

// whole waits until a way is not cut; false: the fabric has ended.
func (f *Fabric) awaitUncut(from, to int) bool {
	for {
		f.mu.Lock()
		cut := f.links[[2]int{from, to}].Cut
		f.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-f.closing:
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *Fabric) copyStream(to, from net.Conn, j, i int) {
	defer func() {
		if t, is := to.(*net.TCPConn); is {
			t.CloseWrite()
		}
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !f.awaitUncut(j, i) {
				return
			}
			for _, d := range f.schedule(j, i, n, false) {
				time.Sleep(d)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}
