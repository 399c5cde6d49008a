package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/publication/store"
	"endivemoor.example/endivemoor/store/client"
)

const (
	spreadPollInterval = 100 * time.Millisecond
	spreadTimeout      = 40 * time.Second
	callsName          = "endivemoor_platform_calls_total"
)

// Spread is the command that measures how a configuration comes into force on a fleet of running
// daemons. It publishes profile sets, with an author and a reviewer, and reads from each daemon
// when it put them into force. Both times must be from the wall clock of the same machine. It
// starts and stops no process.
type Spread struct {
	Admins   []string      `required:"" help:"admin addresses of all daemons, ip:port"`
	Platform string        `required:"" help:"address of the stand-in platform, ip:port"`
	Profiles string        `required:"" type:"existingfile" help:"published first, and again with other drain graces"`
	Rounds   int           `default:"10"`
	Idle     time.Duration `default:"20s" help:"how long store calls are counted without a publication"`
	Pause    time.Duration `default:"1s" help:"between rounds"`
	Outage   bool          `help:"publish once more, take the store down at the acceptance and leave it so"`
}

// Run measures the fleet and prints the results.
func (s *Spread) Run(ctx context.Context, out io.Writer) error {
	p, err := client.New("http://"+s.Platform, client.Options{})
	if err != nil {
		return err
	}
	profiles := store.New(p, time.Now)
	if _, err = awaitAll(ctx, s.Admins, 1); err != nil {
		return err
	}
	if err = s.countCalls(ctx, out, "idle", func() error {
		wait.For(ctx, s.Idle)
		return ctx.Err()
	}); err != nil {
		return err
	}
	var times []time.Duration
	err = s.countCalls(ctx, out, "publishing", func() error {
		times, err = s.rounds(ctx, profiles)
		return err
	})
	if err != nil {
		return err
	}
	slices.Sort(times)
	fmt.Fprintf(out, "daemons=%d rounds=%d in force on all after acceptance: median %s max %s\n",
		len(s.Admins), len(times), millis(times[len(times)/2]), millis(times[len(times)-1]))
	if s.Outage {
		return s.outage(ctx, out, profiles)
	}
	return nil
}

func millis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func (s *Spread) rounds(ctx context.Context, profiles *store.Store) ([]time.Duration, error) {
	var times []time.Duration
	for n := range s.Rounds {
		generation, accepted, err := s.publish(ctx, profiles, n)
		if err != nil {
			return nil, err
		}
		last, err := awaitAll(ctx, s.Admins, generation)
		if err != nil {
			return nil, err
		}
		times = append(times, last.Sub(accepted))
		if !wait.For(ctx, s.Pause) {
			return nil, ctx.Err()
		}
	}
	return times, nil
}

var drainGrace = regexp.MustCompile(`(?m)^drain-grace.*$`)

// publish publishes a changed profile set. It returns the new generation and the time of the
// publish call rather than that of its reply, so that the time between the store's change and the
// reply is included in the measurement.
func (s *Spread) publish(ctx context.Context, profiles *store.Store, n int) (uint64, time.Time, error) {
	text, err := os.ReadFile(s.Profiles)
	if err != nil {
		return 0, time.Time{}, err
	}
	text = drainGrace.ReplaceAll(text, fmt.Appendf(nil, "drain-grace = %ds", 6+n%20))
	draft, found, err := profiles.Create(ctx, store.Attribution{Actor: "aoife", Reason: "measure"}, "spread.ini", text)
	if err == nil {
		err = found.Err()
	}
	if err != nil {
		return 0, time.Time{}, errors.Wrap(err, "create profile draft")
	}
	if _, err = profiles.Review(ctx, store.Attribution{Actor: "brendan", Reason: "measure"}, draft.ID, nil); err != nil {
		return 0, time.Time{}, errors.Wrap(err, "review profile draft")
	}
	begin := time.Now()
	done, err := profiles.Publish(ctx, store.Attribution{Actor: "aoife", Reason: "measure"}, draft.ID)
	if err != nil {
		return 0, begin, errors.Wrap(err, "publish profile")
	}
	return uint64(done.Record.Generation), begin, nil
}

// outage takes the store down as soon as it has accepted a publication, and prints when the
// publication came into force.
func (s *Spread) outage(ctx context.Context, out io.Writer, profiles *store.Store) error {
	generation, accepted, err := s.publish(ctx, profiles, s.Rounds)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+s.Platform+"/fault", "application/json", bytes.NewBufferString(`{"down": true}`))
	if err != nil {
		return errors.Wrap(err, "stop the store")
	}
	_ = resp.Body.Close()
	down := time.Now()
	last, err := awaitAll(ctx, s.Admins, generation)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "daemons=%d store down %s after the publish call; generation %d in force on all after %s\n",
		len(s.Admins), millis(down.Sub(accepted)), generation, millis(last.Sub(accepted)))
	return nil
}

// countCalls prints the number of store calls per second that the daemons made while work ran.
func (s *Spread) countCalls(ctx context.Context, out io.Writer, what string, work func() error) error {
	before, err := metrics(ctx, s.Admins)
	if err != nil {
		return err
	}
	begin := time.Now()
	if err = work(); err != nil {
		return err
	}
	took := time.Since(begin).Seconds()
	after, err := metrics(ctx, s.Admins)
	if err != nil {
		return err
	}
	calls, total := map[string]float64{}, 0.0
	for i := range after {
		callsBefore := before[i].by(callsName, purposeLabel)
		for purpose, n := range after[i].by(callsName, purposeLabel) {
			calls[purpose] += n - callsBefore[purpose]
			total += n - callsBefore[purpose]
		}
	}
	fmt.Fprintf(out, "daemons=%d %s for %.0f s, store calls a second: total %.2f", len(s.Admins), what, took, total/took)
	for _, purpose := range slices.Sorted(maps.Keys(calls)) {
		fmt.Fprintf(out, " %s %.2f", purpose, calls[purpose]/took)
	}
	fmt.Fprintln(out)
	return nil
}

// Await is the command that waits until daemons have a generation, such as daemons that were
// restarted during an outage.
type Await struct {
	Admins     []string `required:"" help:"admin addresses, ip:port"`
	Generation uint64   `default:"1"`
}

// Run waits for the generation and prints how long it took.
func (a *Await) Run(ctx context.Context, out io.Writer) error {
	begin := time.Now()
	last, err := awaitAll(ctx, a.Admins, a.Generation)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d daemons have generation %d or later, the last after %s\n", len(a.Admins), a.Generation, millis(last.Sub(begin)))
	return nil
}

// awaitAll waits until all daemons are ready and have the generation, and returns when the last of
// them put it into force.
func awaitAll(ctx context.Context, admins []string, generation uint64) (last time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	for {
		now, err := states(ctx, admins)
		behind := slices.IndexFunc(now, func(s daemonState) bool { return !s.Ready || s.Generation < generation })
		if err == nil && behind < 0 {
			for _, s := range now {
				if s.InForceSince.After(last) {
					last = s.InForceSince
				}
			}
			return last, nil
		}
		if !wait.For(ctx, spreadPollInterval) {
			return last, errors.Errorf("generation %d not in force on all after %s: %+v, %v", generation, spreadTimeout, now, err)
		}
	}
}
