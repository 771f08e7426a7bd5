package testfleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cranegrade/internal/fake"
)

// MaxProcesses is the number of processes that a fabric can connect.
const MaxProcesses = 100

const (
	firstFabricPort = 20_000
	fabricPorts     = 10_000
	portAttempts    = 50
)

// Fabric is the network between processes, for UDP and TCP, with a Link for each direction between two of them. Process i listens on
// 127.0.1.i+1 and dials from there. All others know it as 127.0.2.i+1, where the fabric listens. By the two addresses the fabric knows who
// sends to whom, and an answer to a datagram goes through it, too. All methods may be called from any goroutine.
type Fabric struct {
	port        int
	packetConns []*net.UDPConn     // by process
	listeners   []*net.TCPListener // by process
	goroutines  sync.WaitGroup
	closing     chan struct{}

	mu        sync.Mutex // guards the fields below
	links     map[route]Link
	rng       *rand.Rand
	bandwidth map[route]*bandwidth // of rate-limited links
	bytesSent map[route]int64
	conns     map[net.Conn]route
}

// route is the direction from one process to another, by their numbers.
type route struct{ from, to int }

func (r route) reverse() route { return route{from: r.to, to: r.from} }

// NewFabric connects n processes on a port that is free at all of their addresses.
func NewFabric(n int, seed uint64) (*Fabric, error) {
	if n > MaxProcesses {
		return nil, fmt.Errorf("connecting %d processes: at most %d are possible", n, MaxProcesses)
	}
	var err error
	for range portAttempts {
		f := &Fabric{
			port: firstFabricPort + rand.IntN(fabricPorts), closing: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0xfab)),
			links: map[route]Link{}, bandwidth: map[route]*bandwidth{}, bytesSent: map[route]int64{}, conns: map[net.Conn]route{},
		}
		if err = f.listen(n); err == nil {
			return f, nil
		}
		f.Close()
	}
	return nil, fmt.Errorf("connecting %d processes: no port is free: %w", n, err)
}

func listenIP(i int) net.IP { return net.IPv4(127, 0, 1, byte(i+1)) }
func publicIP(i int) net.IP { return net.IPv4(127, 0, 2, byte(i+1)) }

// ListenAddr is the address that process i listens on and dials from.
func (f *Fabric) ListenAddr(i int) string { return fmt.Sprintf("%v:%d", listenIP(i), f.port) }

// PublicAddr is the address that the others know process i by.
func (f *Fabric) PublicAddr(i int) string { return fmt.Sprintf("%v:%d", publicIP(i), f.port) }

func (f *Fabric) listen(n int) error {
	for i := range n {
		if err := f.listenFor(i); err != nil {
			return err
		}
	}
	for i := range n {
		f.goroutines.Go(func() { f.forwardDatagrams(i) })
		f.goroutines.Go(func() { f.acceptStreams(i) })
	}
	return nil
}

// listenFor opens the sockets of process i's public address.
func (f *Fabric) listenFor(i int) error {
	// The process needs the port at its own address, too.
	probe, err := net.ListenTCP("tcp", &net.TCPAddr{IP: listenIP(i), Port: f.port})
	if err != nil {
		return err
	}
	_ = probe.Close()
	packetConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: publicIP(i), Port: f.port})
	if err != nil {
		return err
	}
	f.packetConns = append(f.packetConns, packetConn)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: publicIP(i), Port: f.port})
	if err != nil {
		return err
	}
	f.listeners = append(f.listeners, listener)
	return nil
}

// Close ends the fabric and all connections, and waits for its goroutines.
func (f *Fabric) Close() {
	close(f.closing)
	for _, c := range f.packetConns {
		_ = c.Close()
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
	f.mu.Lock()
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.goroutines.Wait()
}

// SetLink sets the link from one process to another. Where it refuses connections, the open ones of both directions are reset.
func (f *Fabric) SetLink(from, to int, l Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := route{from, to}
	f.links[changed] = l
	if !l.Refuse {
		return
	}
	for c, r := range f.conns {
		if r == changed || r == changed.reverse() {
			fake.ResetConnection(c)
		}
	}
}

// SetAllLinks sets the links of all directions.
func (f *Fabric) SetAllLinks(l Link) {
	for i := range f.packetConns {
		for j := range f.packetConns {
			if i != j {
				f.SetLink(i, j, l)
			}
		}
	}
}

// Partition cuts the links between processes of different parts. The links of processes in no part stay as they are.
func (f *Fabric) Partition(parts ...[]int) {
	for i, part := range parts {
		for j, other := range parts {
			if i != j {
				f.cut(part, other)
			}
		}
	}
}

// cut cuts the links from all processes of one part to all of another.
func (f *Fabric) cut(from, to []int) {
	for _, i := range from {
		for _, j := range to {
			f.SetLink(i, j, Link{Cut: true})
		}
	}
}

// Heal makes all links sound.
func (f *Fabric) Heal() { f.SetAllLinks(Link{}) }

// BytesSent is the number of bytes that a process has sent to others, by datagrams and streams, also those that were lost.
func (f *Fabric) BytesSent(from int) (total int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for r, n := range f.bytesSent {
		if r.from == from {
			total += n
		}
	}
	return total
}

// errUnknownProcess is of a peer whose address is none of the fabric's.
var errUnknownProcess = errors.New("the address belongs to no process of the fabric")

// processAt returns the process that dials from an address.
func (f *Fabric) processAt(ip net.IP) (int, error) {
	ip = ip.To4()
	if ip == nil || ip[0] != 127 || ip[1] != 0 || ip[2] != 1 || ip[3] == 0 || int(ip[3]) > len(f.packetConns) {
		return 0, errUnknownProcess
	}
	return int(ip[3]) - 1, nil
}

// copyDelays decides what becomes of a message of a size: how long each copy of it takes; none if it is lost. The loss and duplication
// of a link apply to datagrams only.
func (f *Fabric) copyDelays(r route, size int, isDatagram bool) (delays []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytesSent[r] += int64(size)
	l := f.links[r]
	if l.Cut || l.Refuse || isDatagram && f.rng.Float64() < l.Loss {
		return nil
	}
	copies := 1
	if isDatagram && f.rng.Float64() < l.Duplicate {
		copies = 2
	}
	for range copies {
		delay := l.Delay
		if l.Jitter > 0 {
			delay += time.Duration(f.rng.Int64N(int64(l.Jitter)))
		}
		if l.Rate > 0 {
			delay += f.bandwidthOf(r).reserve(size, l.Rate)
		}
		delays = append(delays, delay)
	}
	return delays
}

// bandwidthOf returns the bandwidth of a rate-limited link. The caller holds mu.
func (f *Fabric) bandwidthOf(r route) *bandwidth {
	if f.bandwidth[r] == nil {
		f.bandwidth[r] = &bandwidth{}
	}
	return f.bandwidth[r]
}
