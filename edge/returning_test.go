package edge_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/consumer"
)

// Guards against: callers who return at another VM through another gateway, and are served as new ones
// in slots of callers who could have been in time. For two seconds three times as many reads of the
// primary arrive as it can serve: one in 5 ms in each of three slots. Callers who are refused return
// twice.
func TestCallersWhoReturnAtAnotherVMAreRecognized(t *testing.T) {
	const (
		objective = 150 * time.Millisecond
		callers   = 3600
		capacity  = 1200
	)
	inTime, late := 0, 0
	runScarce(t, func(f *fleet) {
		for _, c := range startCallers(callers, 2*time.Second/callers, func(n int) caller {
			var tries []*consumer.Session
			for k := range 3 {
				at := "vm" + strconv.Itoa((n+k*4)%9)
				session, _ := f.world.OpenAs(f.nextConsumer(), "caller"+strconv.Itoa(n), f.addr(at), exact)
				tries = append(tries, session)
				defer session.Close()
			}
			return call(tries, "READ a")
		}) {
			switch {
			case c.served && c.took <= objective:
				inTime++
			case c.served:
				late++
			}
		}
		f.checkInvariants()
	})
	t.Logf("in time %d, late %d of %d", inTime, late, callers)
	require.Greater(t, float64(inTime), 0.95*capacity)
}
