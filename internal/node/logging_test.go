package node

import (
	"testing"

	"github.com/rs/zerolog"
)

// An empty or misspelled level must not silence the log: it must give the level info.
func TestLogLevels(t *testing.T) {
	for name, want := range map[string]zerolog.Level{
		"": zerolog.InfoLevel, "loud": zerolog.InfoLevel, "debug": zerolog.DebugLevel, "info": zerolog.InfoLevel,
		"warn": zerolog.WarnLevel, "error": zerolog.ErrorLevel,
	} {
		if got := ParseLogLevel(name); got != want {
			t.Errorf("ParseLogLevel(%q) = %v, want %v", name, got, want)
		}
	}
}
