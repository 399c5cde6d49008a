package experiment

import "endivemoor.example/endivemoor/internal/experiment/failover"

// FailoverCmd compares the acknowledgement gates.
type FailoverCmd struct {
	Seeds    int    `default:"1000" help:"Number of seeds, from 1 on."`
	Parallel int    `default:"4" help:"Runs at once."`
	Table    string `default:"all" enum:"all,gates,heartbeats,loss" help:"Which table to print."`
}

// Run implements the command.
func (c *FailoverCmd) Run(env *Env) error {
	if c.prints("loss") {
		if err := failover.FalsePromotions(env.Out, c.Seeds, c.Parallel); err != nil {
			return err
		}
	}
	if c.prints("heartbeats") {
		if err := failover.Heartbeats(env.Out, c.Seeds, c.Parallel); err != nil {
			return err
		}
	}
	if c.prints("gates") {
		return failover.Compare(env.Out, c.Seeds, c.Parallel)
	}
	return nil
}

func (c *FailoverCmd) prints(table string) bool { return c.Table == "all" || c.Table == table }
