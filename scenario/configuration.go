package scenario

import (
	"fmt"
	"time"

	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/store"
)

// GuardGeneration is the rule that a VM takes no older configuration.
const GuardGeneration guard.Name = "publication/accept"

const (
	configurationKey = "profiles/current"
	// offerEvery is the interval at which a VM offers its configuration to a
	// peer and reads the store's.
	offerEvery = 300 * time.Millisecond
)

// inForce is a configuration that a VM put in force, for the judge.
type inForce struct {
	vm    string
	epoch int
	what  publication.Version
}

// Publish makes a generation the accepted one, as one update of the store.
func (w *World) Publish(generation int) error {
	o := w.store.objects[configurationKey]
	v := publication.Version{Generation: profile.Generation(generation), Digest: fmt.Sprint("digest-", generation)}
	_, err := w.store.put(configurationKey, mustMarshal(v), o.Version)
	return err
}

// spread lets a VM read the store's configuration and offer its own to a peer.
func (v *vm) spread() {
	v.w.getFrom(v.node, configurationKey, func(o store.Object, err error) {
		if err == nil {
			var stored publication.Version
			mustUnmarshal(o.Value, &stored)
			v.offered(stored)
		}
	})
	peer := v.w.vms[v.w.rng.IntN(len(v.w.vms))]
	if peer != v && v.configuration.Generation > 0 {
		mine := v.configuration
		v.w.send(v.node, peer.node, v.w.delay(), func() { peer.offered(mine) })
	}
	v.w.after(v.node, offerEvery, v.spread)
}

// offered takes a configuration if the core says so.
func (v *vm) offered(offer publication.Version) {
	verdict := publication.Accept(v.configuration, offer)
	if verdict == publication.Older && v.w.guards.Out(GuardGeneration) {
		verdict = publication.Take
	}
	if verdict != publication.Take {
		return
	}
	v.configuration = offer
	v.w.inForce = append(v.w.inForce, inForce{vm: v.name, epoch: v.epoch, what: offer})
	v.w.logf("%s generation=%d in force", v.name, offer.Generation)
}

// judgeConfiguration finds VMs that went back to an older configuration, or
// that have not reached the accepted one.
func (w *World) judgeConfiguration() []Finding {
	var found []Finding
	newest := map[string]inForce{}
	for _, f := range w.inForce {
		before, ok := newest[f.vm]
		if ok && before.epoch == f.epoch && f.what.Generation < before.what.Generation {
			found = append(found, Finding{"reverted", fmt.Sprintf("%s to generation %d", f.vm, f.what.Generation)})
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
