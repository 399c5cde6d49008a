package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"endivemoor.example/endivemoor/settings"
)

// reloadOnHangup reads the settings file again on each SIGHUP, until ctx ends.
func (d *daemon) reloadOnHangup(ctx context.Context, path string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			d.reload(path)
		}
	}
}

// reload applies the settings that may change while the daemon runs: users, session keys, the
// callers' certificate and the log level. A file with any finding changes nothing: the daemon
// keeps its settings.
func (d *daemon) reload(path string) {
	s, err := settings.Load(path)
	if err == nil {
		err = d.apply(s)
	}
	if err != nil {
		d.log.Error("settings_refused", zap.String("file", path), zap.Error(err))
		return
	}
	d.log.Info("settings_reloaded", zap.String("file", path))
}

func (d *daemon) apply(s *settings.Settings) error {
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	next, err := parseUsers(s.Users)
	if err != nil {
		return err
	}
	if d.cert != nil {
		if err = d.cert.Reload(); err != nil {
			return err
		}
	}
	if err = d.tokens.Replace(s.ActiveKey, s.SessionKeys); err != nil {
		return errors.Wrap(err, "session keys")
	}
	d.users.current.Store(&next)
	d.level.SetLevel(level)
	return nil
}
