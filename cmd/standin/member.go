package main

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// memberCommand serves one database server with the address, zone and role that a group's object
// assigns to it. Its fault controls listen on the server's port plus ControlOffset.
type memberCommand struct {
	Group         string        `help:"File of the group's object." type:"existingfile" required:""`
	ID            string        `help:"Server of the group." required:""`
	ControlOffset int           `help:"Added to the server's port for its fault controls." default:"1000"`
	Connections   int           `default:"25"`
	Slots         int           `default:"3"`
	ConnectCost   time.Duration `default:"10ms"`
	Delay         time.Duration `help:"Replication delay." default:"0s"`
	Seed          string        `help:"File of SQL statements." type:"existingfile" optional:""`
}

// Run serves until SIGTERM.
func (c *memberCommand) Run() error {
	raw, err := os.ReadFile(c.Group)
	if err != nil {
		return errors.Wrap(err, "group")
	}
	var g view.Group
	if err = json.Unmarshal(raw, &g); err != nil {
		return errors.Wrap(err, c.Group)
	}
	s, primary := g.Server(target.ID(c.ID)), g.Server(g.Primary)
	if s == nil || primary == nil {
		return errors.Errorf("%s has no server %s or no primary", c.Group, c.ID)
	}
	control, err := addToPort(s.Addr, c.ControlOffset)
	if err != nil {
		return err
	}
	role := "replica"
	if s == primary {
		role = "primary"
	}
	db := dbd.Command{
		ID: c.ID, Listen: s.Addr, Control: control, Zone: s.Zone, Role: role, Primary: primary.Addr,
		Connections: c.Connections, Slots: c.Slots, ConnectCost: c.ConnectCost, Delay: c.Delay, Seed: c.Seed,
	}
	return db.Run()
}

func addToPort(addr string, by int) (string, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return "", errors.Wrap(err, "server's address")
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return "", errors.Wrap(err, "server's port")
	}
	return net.JoinHostPort(host, strconv.Itoa(n+by)), nil
}
