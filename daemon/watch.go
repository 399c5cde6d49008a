package daemon

import (
	"sync/atomic"

	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/ownership"
)

// watchersPerZone is how many VMs of an availability zone watch the store; the
// rest learn from peers, so calls to the store do not grow with the fleet.
const watchersPerZone = 2

// watchTopic names the duty in the assignment of VMs.
const watchTopic = "store-watch"

// watchDuty says if this VM is one of the watchers.
type watchDuty struct{ active atomic.Bool }

func (w *watchDuty) update(self string, live []membership.VM) {
	for _, vm := range ownership.NewRing(live).Watchers(watchTopic, watchersPerZone) {
		if vm.ID == self {
			w.active.Store(true)
			return
		}
	}
	w.active.Store(false)
}

func (d *daemon) watchers() []*controller.Watcher {
	return append(d.manager.Watchers(d.watch.active.Load), d.profileWatcher())
}
