package main

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"text/template"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/platform/standin/database"
	"endivemoor.example/endivemoor/platform/standin/world"
)

// zones are the availability zones of the deployment.
var zones = []string{"dub-a", "dub-b", "dub-c"}

// Figures of the site skybridge-passes.
const (
	usualLag      = 60 * time.Millisecond
	receiveDelay  = 2 * time.Millisecond
	promotionTime = 300 * time.Millisecond
	slots         = 3
	connections   = 23
	statementTime = 4 * time.Millisecond
	// maxServers is the number of servers of a service in one run, those that have left included.
	maxServers = 8
)

// deployment is the platform of a small deployment, and the addresses of its machines.
type deployment struct {
	rec   *record
	world *world.World
	links *links
	// nodes are the names of the machines, and fronts and readies their addresses.
	nodes, fronts, readies []string
	// paths are the machines' paths to the store.
	paths []*path
}

// start starts the platform with the services, and writes the settings of each machine to dir.
//
// A server receives a commit after receiveDelay and applies it usualLag after it was made.
func start(rec *record, dir string, machines int, services ...string) (*deployment, error) {
	port, err := freePorts(1 + len(services)*maxServers)
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, world: world.Loopback(port), links: newLinks()}
	d.world.Advertise = d.links.advertise
	for _, name := range services {
		g := d.world.AddGroup(database.Options{
			Service: name, Lag: receiveDelay, StatementTime: statementTime, PromotionTime: promotionTime, Slots: slots, MaxConnections: connections,
		}, zones...)
		g.OnStatement = func(client, request string, _ bool) {
			rec.line("run %s at service %s, sent by %s", request, name, client)
		}
	}
	for _, name := range services {
		d.setApplyDelay(name, usualLag)
	}
	for n := range machines {
		p, err := d.openPath()
		if err != nil {
			return nil, err
		}
		d.paths = append(d.paths, p)
		if err := d.writeSettings(dir, n, p.addr); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// setApplyDelay sets how late the servers of a service apply commits while they are replicas.
func (d *deployment) setApplyDelay(service string, delay time.Duration) {
	g := d.world.Group(service)
	for _, id := range g.Servers() {
		g.SetApplyDelay(id, delay)
	}
}

// freePorts returns the first of several consecutive free ports.
func freePorts(count int) (int, error) {
	for range 100 {
		first := 20000 + rand.IntN(10000)
		if arePortsFree(first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("there are no %d consecutive free ports", count)
}

func arePortsFree(first, count int) bool {
	for n := range count {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+n))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// publish writes the next version of the configuration.
func (d *deployment) publish(routes ...catalog.Route) {
	d.world.SetRoutes(routes...)
	for _, r := range routes {
		d.rec.line("configuration acknowledged: database %s, kind %s, service %s", r.Database, r.Freshness, r.Service)
	}
}

//go:embed settings.tmpl
var settingsText string

var settings = template.Must(template.New("settings").Parse(settingsText))

// writeSettings writes the settings file of the n-th machine.
func (d *deployment) writeSettings(dir string, n int, store string) error {
	ip := fmt.Sprintf("127.43.%d.%d", os.Getpid()%250, n+1)
	var addrs [3]string
	for i := range addrs {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer ln.Close()
		addrs[i] = ln.Addr().String()
	}
	zone, number := zones[n%len(zones)], n/len(zones)+1
	d.nodes = append(d.nodes, fmt.Sprintf("edge-%s-%d", zone, number))
	d.fronts, d.readies = append(d.fronts, addrs[0]), append(d.readies, addrs[1])
	f, err := os.Create(filepath.Join(dir, fmt.Sprintf("edge%d.toml", n+1)))
	if err != nil {
		return err
	}
	defer f.Close()
	return settings.Execute(f, map[string]any{
		"Zone": zone, "Number": number, "IP": ip, "Store": store,
		"Front": addrs[0], "Ready": addrs[1], "Control": addrs[2],
	})
}

// awaitReady waits until all machines are ready.
func (d *deployment) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(d.readies, isNotReady) {
			return nil
		}
	}
	return fmt.Errorf("the machines are not ready after %s", timeout)
}

func isNotReady(addr string) bool {
	resp, err := http.Get("http://" + addr + "/readyz")
	if err != nil {
		return true
	}
	defer resp.Body.Close()
	return resp.StatusCode != http.StatusOK
}
