package dbd

import (
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"endivemoor.example/endivemoor/target"
)

// killedExitCode is the exit status of the process after a kill fault: 128 + SIGKILL.
const killedExitCode = 137

// Command is the command line of one stand-in database server.
type Command struct {
	ID            string            `help:"Name of the server." required:""`
	Listen        string            `help:"SQL address, ip:port." required:""`
	Control       string            `help:"HTTP address for faults and evidence, ip:port."`
	Zone          string            `help:"Availability zone."`
	Role          string            `help:"Role at the start." enum:"primary,replica,blank" default:"replica"`
	Primary       string            `help:"SQL address of the primary that a replica follows."`
	Connections   int               `help:"Greatest number of connections." default:"25"`
	Slots         int               `help:"Greatest number of statements at once." default:"3"`
	ConnectCost   time.Duration     `help:"Time that opening a connection takes." default:"10ms"`
	StatementCost time.Duration     `help:"Least time that a statement takes." default:"0s"`
	Delay         time.Duration     `help:"Replication delay of this server." default:"0s"`
	IdleLimit     time.Duration     `help:"Time after which a connection with an idle open transaction is ended." default:"10s"`
	Seed          string            `help:"File of SQL statements, run alike on each server of a group." type:"existingfile"`
	User          map[string]string `help:"User and password (name=password) for SCRAM-SHA-256; none means trust."`
}

// Run serves until SIGTERM or SIGINT.
func (c *Command) Run() error {
	seed, err := c.readSeed()
	if err != nil {
		return err
	}
	s, err := Start(c.options(seed))
	if err != nil {
		return err
	}
	s.onKill = func() { os.Exit(killedExitCode) }
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	s.Close()
	return nil
}

func (c *Command) readSeed() ([]string, error) {
	if c.Seed == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.Seed)
	if err != nil {
		return nil, errors.Wrap(err, "read the seed")
	}
	return split(strings.TrimSpace(string(text))), nil
}

func (c *Command) options(seed []string) Options {
	return Options{
		ID:            target.ID(c.ID),
		Listen:        c.Listen,
		Control:       c.Control,
		Zone:          c.Zone,
		Role:          Role(c.Role),
		Primary:       c.Primary,
		Connections:   c.Connections,
		Slots:         c.Slots,
		ConnectCost:   c.ConnectCost,
		StatementCost: c.StatementCost,
		Delay:         c.Delay,
		Seed:          seed,

		IdleInTransaction: c.IdleLimit,
		Users:             c.User,
		Log:               newLogger().With(zap.String("server", c.ID)),
	}
}

// newLogger returns a logger that writes one logfmt line per event to standard error.
func newLogger() *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(os.Stderr), zap.InfoLevel))
}
