// Package logging configures the default logger of a program.
package logging

import (
	"fmt"
	"log/slog"
	"os"
)

// ToStderr makes the default logger write messages of the given level and above to standard
// error. The level is error, info or debug; empty means info. Call it once, before anything is
// logged.
func ToStderr(level string) error {
	levels := map[string]slog.Level{
		"": slog.LevelInfo, "error": slog.LevelError, "info": slog.LevelInfo, "debug": slog.LevelDebug,
	}
	threshold, ok := levels[level]
	if !ok {
		return fmt.Errorf("LOG_LEVEL must be error, info or debug, is %q", level)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: threshold})))
	return nil
}
