// Package logging builds the loggers of the daemons. Each event is one line of key=value pairs,
// with the event's stable name as its message. New builds a logger, BoundedWriter limits its
// output, and EachEvent reads a log.
package logging

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to out. The level may be changed while the logger is in use.
func New(out io.Writer, level zap.AtomicLevel) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.MessageKey = "event"
	cfg.TimeKey = "time"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(out)), level)
	return zap.New(messageOnlyErrors{core})
}

// messageOnlyErrors logs only the message of an error. For an error that carries a stack, zap would
// add a second key with the stack, which spreads the event over many lines.
type messageOnlyErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (c messageOnlyErrors) With(fields []zapcore.Field) zapcore.Core {
	return messageOnlyErrors{c.Core.With(errorsToMessages(fields))}
}

// Check implements zapcore.Core.
func (c messageOnlyErrors) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write implements zapcore.Core.
func (c messageOnlyErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorsToMessages(fields))
}

func errorsToMessages(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}
