package daemon

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/platform"
	"endivemoor.example/endivemoor/profile"
)

// currentProfiles is the object that names the published set.
const currentProfiles = "profiles/current"

// profileWatcher puts published sets in force.
func (d *daemon) profileWatcher() *controller.Watcher {
	return &controller.Watcher{
		Store:   d.store,
		Purpose: platform.PurposeProfile,
		Prefix:  currentProfiles,
		Handle:  d.onProfiles,
		Active:  d.duty.Watches,
		Rand:    newRand(),
		Log:     d.log,
	}
}

func (d *daemon) onProfiles(_ context.Context, changed []platform.Object) {
	for _, obj := range changed {
		if obj.Version == 0 {
			continue
		}
		var r struct {
			Generation profile.Generation `json:"generation"`
			Digest     string             `json:"digest"`
			Text       string             `json:"text"`
		}
		if err := json.Unmarshal(obj.Value, &r); err != nil {
			d.log.Error("profiles_unreadable", zap.Error(err))
			continue
		}
		p := controller.Published{Generation: r.Generation, Digest: r.Digest, Text: []byte(r.Text)}
		if d.config.Offer(p, "store") {
			d.exchange.Relay()
		}
	}
}
