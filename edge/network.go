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
	// userTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). Without it a
	// connection hangs for many minutes during a network partition.
	userTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection on which this VM
	// only waits, as on a watch, after about three seconds. A configuration must be in force within
	// that time.
	keepAliveIdle     = time.Second
	keepAliveInterval = 700 * time.Millisecond
	keepAliveCount    = 3
	// maxIdleStoreConns bounds the idle connections to the store: three watches and a few calls.
	maxIdleStoreConns = 4
)

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
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

// hostNetwork is the Network of a running VM.
type hostNetwork struct{ *net.Dialer }

// Listen implements Network.
func (hostNetwork) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func newTransport(dial spending.DialFunc) http.RoundTripper {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleStoreConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}
