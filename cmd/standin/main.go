// Command standin runs stand-ins for the external systems on one machine: the platform's object API
// and database servers. It is for demos and tests only.
package main

import (
	"github.com/alecthomas/kong"

	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/platform/standin/lines"
	"endivemoor.example/endivemoor/platform/standin/platformd"
)

type commands struct {
	Platform platformd.Command `cmd:"" help:"Serve the object API."`
	Play     lines.Play        `cmd:"" name:"play-lines" help:"Play the main job against three daemons and the lines stand-in."`
	Lines    lines.Command     `cmd:"" help:"Serve the users' platform: object store, designation call and database groups that speak lines."`
	DB       dbd.Command       `cmd:"" name:"db" help:"Serve one database server."`
	Member   memberCommand     `cmd:"" help:"Serve one database server of a group's object file."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("standin"))
	ctx.FatalIfErrorf(ctx.Run())
}
