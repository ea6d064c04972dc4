// Package logging sets up the log of a program.
package logging

import (
	"fmt"
	"log/slog"
	"os"
)

// ToStderr logs to standard error from a level on: error, info or debug; empty is info.
func ToStderr(level string) error {
	levels := map[string]slog.Level{
		"": slog.LevelInfo, "error": slog.LevelError, "info": slog.LevelInfo, "debug": slog.LevelDebug,
	}
	l, ok := levels[level]
	if !ok {
		return fmt.Errorf("LOG_LEVEL must be error, info or debug, is %q", level)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})))
	return nil
}
