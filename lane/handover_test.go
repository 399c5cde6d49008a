package lane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/gateways"
)

// Failure guarded against: a VM that is no longer a gateway has open transactions, and requests that
// still reach it wait behind them; or it keeps its connections.
func TestLaneThatLosesItsShareServesWhatReachesIt(t *testing.T) {
	inBubble(t, 9, 4, func(l *Lane, d *dialer) {
		transactions := []*Conn{acquire(t, l), acquire(t, l)}
		l.setShare(gateways.Share{Temporary: true})
		for range 2 {
			request := acquire(t, l)
			l.setShare(gateways.Share{Temporary: true})
			request.Release()
		}
		for _, tx := range transactions {
			tx.Release()
		}
		time.Sleep(2 * temporaryIdleTimeout)
		l.maintain()
		l.maintain()
		require.Zero(t, l.Load().Open)
		require.Zero(t, l.Load().Allowance)
		l.setShare(gateways.Share{MaxOpen: 4, MaxIdle: 4})
		require.Equal(t, 4, l.Load().Allowance)
	})
}

// Failure guarded against: a VM that hands over opens connections beyond those that it has, or keeps to
// the share of a limit that was lowered.
func TestLaneThatHandsOverDoesNotGrow(t *testing.T) {
	inBubble(t, 99, 9, func(l *Lane, d *dialer) {
		open := []*Conn{acquire(t, l), acquire(t, l), acquire(t, l)}
		l.setShare(gateways.Share{Temporary: true, MaxFormer: 9})
		require.Equal(t, 3+burst, l.maxOpen(l.clk.Now()))
		open[0].Release()
		time.Sleep(2 * temporaryIdleTimeout)
		l.maintain()
		l.maintain()
		require.Equal(t, 2+burst, l.maxOpen(l.clk.Now()))
		l.setShare(gateways.Share{Temporary: true, MaxFormer: 1})
		require.Equal(t, 1+burst, l.maxOpen(l.clk.Now()))
		open[1].Release()
		open[2].Release()
	})
}
