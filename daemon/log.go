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
// event. The message is the event's stable name.
func newLog(s *settings.Settings) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.MessageKey = "event"
	cfg.TimeKey = "time"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(os.Stderr), level)
	return zap.New(core).With(zap.String("vm", s.VM.ID), zap.String("zone", s.VM.Zone)), nil
}
