package daemon

import (
	"os"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"endivemoor.example/endivemoor/logging"
	"endivemoor.example/endivemoor/settings"
)

// newLog returns the daemon's logger and its level, which can be changed while the daemon runs.
func newLog(s *settings.Settings) (*zap.Logger, zap.AtomicLevel, error) {
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, zap.AtomicLevel{}, errors.Wrap(err, "log level")
	}
	atomic := zap.NewAtomicLevelAt(level)
	log := logging.New(os.Stderr, atomic).With(zap.String("vm", s.VM.ID), zap.String("zone", s.VM.Zone))
	return log, atomic, nil
}
