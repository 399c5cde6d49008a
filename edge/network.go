package edge

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"endivemoor.example/endivemoor/spending"
)

const (
	// dialTimeout bounds opening a connection to the store.
	dialTimeout = 1500 * time.Millisecond
	// userTimeout is how long sent bytes may stay without receipt. Without it a
	// connection across a network partition hangs for many minutes.
	userTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveEvery find a connection that has gone silent
	// while we only wait, as on a watch: after about three seconds, which is the
	// time in which a configuration must be in force.
	keepAliveIdle  = time.Second
	keepAliveEvery = 700 * time.Millisecond
	keepAliveCount = 3
	// maxIdleCalls bounds the idle connections to the store: three watches and
	// a few calls.
	maxIdleCalls = 4
)

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// kernel is the Network of a running VM.
type kernel struct{ *net.Dialer }

// Listen implements Network.
func (kernel) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func newTransport(dial spending.DialFunc) http.RoundTripper {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleCalls,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}
