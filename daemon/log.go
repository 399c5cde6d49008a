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
// event. The message is the event's stable name. The level can be changed while
// the daemon runs.
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
	log := zap.New(plainErrors{core}).With(zap.String("vm", s.VM.ID), zap.String("zone", s.VM.Zone))
	return log, atomic, nil
}

// plainErrors writes errors as their message alone. zap adds a second key with
// the stack of errors that carry one, which makes a line of many.
type plainErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write implements zapcore.Core.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}
