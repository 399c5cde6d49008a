package logging

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// The store fails, and each event with the error in it became a stack of lines
// that no key=value reader understands.
func TestAnEventWithAnErrorStaysOneLine(t *testing.T) {
	core, seen := observer.New(zapcore.InfoLevel)
	zap.New(plainErrors{core}).Info("watch_failed", zap.Error(errors.New("no answer")))
	require.Equal(t, map[string]any{"error": "no answer"}, seen.All()[0].ContextMap())
}
