package scenario

import (
	"fmt"
	"time"

	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/store"
)

// GuardGeneration is the rule that a VM does not accept an older configuration.
const GuardGeneration guard.Name = "publication/accept"

const (
	configurationKey = "profiles/current"
	// offerInterval is the interval at which a VM offers its configuration to a peer and reads the
	// one in the store.
	offerInterval = 300 * time.Millisecond
)

// inForce records that a VM put a configuration in force, for the checker.
type inForce struct {
	vm      string
	epoch   int
	version publication.Version
}

// Publish stores a generation as the accepted one, in one update of the store.
func (w *World) Publish(generation int) error {
	o := w.store.objects[configurationKey]
	v := publication.Version{Generation: profile.Generation(generation), Digest: fmt.Sprint("digest-", generation)}
	_, err := w.store.put(configurationKey, mustMarshal(v), o.Version)
	return err
}

// exchangeConfiguration reads the configuration from the store and offers the VM's own to a random
// peer.
func (v *vm) exchangeConfiguration() {
	v.w.getFrom(v.node, configurationKey, func(o store.Object, err error) {
		if err == nil {
			var stored publication.Version
			mustUnmarshal(o.Value, &stored)
			v.receiveOffer(stored)
		}
	})
	peer := v.w.vms[v.w.rng.IntN(len(v.w.vms))]
	if peer != v && v.configuration.Generation > 0 {
		mine := v.configuration
		v.w.send(v.node, peer.node, v.w.delay(), func() { peer.receiveOffer(mine) })
	}
	v.w.after(v.node, offerInterval, v.exchangeConfiguration)
}

// receiveOffer puts an offered configuration in force if publication.Accept allows it.
func (v *vm) receiveOffer(offer publication.Version) {
	verdict := publication.Accept(v.configuration, offer)
	if verdict == publication.Older && v.w.guards.Disabled(GuardGeneration) {
		verdict = publication.Take
	}
	if verdict != publication.Take {
		return
	}
	v.configuration = offer
	v.w.inForce = append(v.w.inForce, inForce{vm: v.name, epoch: v.epoch, version: offer})
	v.w.logf("%s generation=%d in force", v.name, offer.Generation)
}

// checkConfiguration reports VMs that reverted to an older configuration or have not reached the
// accepted one.
func (w *World) checkConfiguration() []Finding {
	var found []Finding
	newest := map[string]inForce{}
	for _, f := range w.inForce {
		before, ok := newest[f.vm]
		if ok && before.epoch == f.epoch && f.version.Generation < before.version.Generation {
			found = append(found, Finding{"reverted", fmt.Sprintf("%s to generation %d", f.vm, f.version.Generation)})
		}
		newest[f.vm] = f
	}
	var accepted publication.Version
	if o, ok := w.store.objects[configurationKey]; ok {
		mustUnmarshal(o.Value, &accepted)
	}
	for _, v := range w.vms {
		if v.configuration != accepted {
			found = append(found, Finding{"behind", fmt.Sprintf("%s has generation %d", v.name, v.configuration.Generation)})
		}
	}
	return found
}
