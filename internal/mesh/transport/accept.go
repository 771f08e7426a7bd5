package transport

import (
	"net"
	"time"
)

// acceptRetryInterval is the time before an accept is retried after a failure.
const acceptRetryInterval = 20 * time.Millisecond

// AcceptEach accepts connections and calls serve for each on a new goroutine. If an accept fails, for example because the process has no
// free file descriptor, it retries. It returns after both stopped and the listener are closed.
func AcceptEach(listener net.Listener, stopped <-chan struct{}, serve func(net.Conn)) {
	for {
		accepted, err := listener.Accept()
		if err == nil {
			go serve(accepted)
			continue
		}
		select {
		case <-stopped:
			return
		case <-time.After(acceptRetryInterval):
		}
	}
}
