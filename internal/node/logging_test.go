package node

import (
	"testing"

	"github.com/rs/zerolog"
)

func TestLogLevels(t *testing.T) {
	for name, want := range map[string]zerolog.Level{
		"": zerolog.InfoLevel, "loud": zerolog.InfoLevel, "debug": zerolog.DebugLevel, "info": zerolog.InfoLevel,
		"warn": zerolog.WarnLevel, "error": zerolog.ErrorLevel,
	} {
		if got := ParseLogLevel(name); got != want {
			t.Errorf("%q: %v, want %v", name, got, want)
		}
	}
}
