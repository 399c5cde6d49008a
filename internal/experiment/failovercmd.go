package experiment

import "endivemoor.example/endivemoor/internal/experiment/failover"

// FailoverCmd compares the gates of acknowledgement.
type FailoverCmd struct {
	Seeds    int `default:"1000" help:"Number of seeds, from 1 on."`
	Parallel int `default:"4" help:"Runs at once."`
}

// Run implements the command.
func (c *FailoverCmd) Run(env *Env) error {
	if err := failover.FalsePromotions(env.Out, c.Seeds, c.Parallel); err != nil {
		return err
	}
	if err := failover.Heartbeats(env.Out, c.Seeds, c.Parallel); err != nil {
		return err
	}
	return failover.Compare(env.Out, c.Seeds, c.Parallel)
}
