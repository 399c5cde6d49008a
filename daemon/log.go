package daemon

import (
	"os"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"endivemoor.example/endivemoor/settings"
)

// newLog returns a logger that writes one line of key=value pairs for each
// event. The message is the event's stable name. The level can be changed while the daemon runs.
func newLog(s *settings.Settings) (*zap.Logger, zap.AtomicLevel, error) {
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, zap.AtomicLevel{}, errors.Wrap(err, "log level")
	}
	atomic := zap.NewAtomicLevelAt(level)
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.MessageKey = "event"
	cfg.TimeKey = "time"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(os.Stderr), atomic)
	return zap.New(core).With(zap.String("vm", s.VM.ID), zap.String("zone", s.VM.Zone)), atomic, nil
}
