package edge_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/world"
)

// Guards against: an ended process that goes on answering over the connections that peers keep, and
// so declines the statements that are meant for the VM's next process.
func TestEndedProcessAnswersNoPeer(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		transport := &http.Transport{DialContext: f.world.Net.Host("peer").DialContext}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		get := func() (closes bool, err error) {
			a, err := client.Get("http://" + world.Settings("vm1", "b", 2).Listen.Control + "/")
			if err != nil {
				return false, err
			}
			defer a.Body.Close()
			_, err = io.Copy(io.Discard, a.Body)
			return a.Close, err
		}
		closes, err := get()
		require.NoError(t, err)
		require.False(t, closes)
		ended := f.vms["vm1"]
		ended.stop()
		<-ended.done
		_, err = get()
		require.Error(t, err, "the connection was kept")
		f.start("vm1", ended.zone, ended.number)
		time.Sleep(2 * time.Second)
		next := f.vms["vm1"]
		next.stop()
		time.Sleep(100 * time.Millisecond)
		closes, err = get()
		require.NoError(t, err)
		require.True(t, closes, "it leaves")
		<-next.done
	})
}
