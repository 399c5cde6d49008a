package daemon

import (
	"time"

	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// status is the reply to GET /status.
type status struct {
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	Ready       bool   `json:"ready"`
	Reason      string `json:"reason,omitempty"`
	Generation  uint64 `json:"generation"`
	Digest      string `json:"digest"`
	// InForceSince is when this VM put the generation in force, by its wall clock.
	InForceSince time.Time              `json:"in_force_since"`
	Sessions     int                    `json:"sessions"`
	Watches      bool                   `json:"watches_store"`
	AuditWaits   int                    `json:"audit_waiting"`
	Live         []membership.VM        `json:"live"`
	Groups       map[string]*view.Group `json:"groups"`
	Draining     map[target.ID]bool     `json:"draining"`
	// Fleet is the configuration that each VM has in force, as last reported to this VM.
	Fleet []controller.FleetVM `json:"fleet"`
}

func (d *daemon) status() status {
	ready, reason := d.ready()
	current := d.config.Current()
	v := d.views.Load()
	return status{
		VM:           d.set.VM.ID,
		Zone:         d.set.VM.Zone,
		Incarnation:  d.incarnationName(),
		Version:      Version,
		Ready:        ready,
		Reason:       reason,
		Generation:   uint64(current.Generation),
		Digest:       current.Digest,
		InForceSince: d.config.Since(),
		Sessions:     d.callers.Sessions(),
		Watches:      d.assignment.Watches(),
		AuditWaits:   d.trail.Waiting(),
		Live:         d.exchange.Live(),
		Groups:       v.Groups,
		Draining:     v.Draining,
		Fleet:        d.exchange.Fleet(),
	}
}
