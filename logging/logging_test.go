package logging

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Failure guarded against: an event with an error is written with the error's stack, over many
// lines that no key=value reader can parse.
func TestAnEventWithAnErrorStaysOneLine(t *testing.T) {
	core, seen := observer.New(zapcore.InfoLevel)
	zap.New(messageOnlyErrors{core}).Info("watch_failed", zap.Error(errors.New("no answer")))
	require.Equal(t, map[string]any{"error": "no answer"}, seen.All()[0].ContextMap())
}
