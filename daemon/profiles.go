package daemon

import (
	"context"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/publication"
	pubstore "endivemoor.example/endivemoor/publication/store"
	"endivemoor.example/endivemoor/store"
)

// profileWatcher returns the watcher that puts published sets in force.
func (d *daemon) profileWatcher() *controller.Watcher {
	return &controller.Watcher{
		Store:   d.store,
		Purpose: store.PurposeProfile,
		Prefix:  pubstore.CurrentKey,
		Handle:  d.onProfiles,
		Active:  d.assignment.Watches,
		Rand:    newRand(),
		Log:     d.log,
	}
}

func (d *daemon) onProfiles(_ context.Context, changed []store.Object, _ int64) {
	for _, obj := range changed {
		if obj.Version == 0 {
			continue
		}
		r, err := publication.Decode(obj.Value)
		if err != nil {
			d.log.Error("profiles_unreadable", zap.Error(err))
			continue
		}
		p := controller.Published{Generation: r.Generation, Digest: r.Digest, Text: []byte(r.Text)}
		if d.config.Offer(p, "store") {
			d.exchange.Relay()
		}
	}
}
