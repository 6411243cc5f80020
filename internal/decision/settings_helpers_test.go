package decision

import "cherrygap/internal/settings"

// Settings are the texts of settings by the keys of package settings, as tests write them.
type Settings map[string]string

func (s Settings) parse() *settings.Settings { return settings.Parse(settings.Values(s)) }

// Number is a setting as the engine reads a number.
func (s Settings) Number(key string) float64 { return settings.ParseNumber(s[key]).Float() }

// Duration is a setting as the engine reads a time.
func (s Settings) Duration(key string) Time { return timeOf(settings.ParseDuration(s[key])) }

// Enabled reports whether a setting is on.
func (s Settings) Enabled(key string) bool {
	return settings.Parse(settings.Values{settings.Peers: s[key]}).Peers
}

// Words is a setting as a list of words.
func (s Settings) Words(key string) []string {
	return settings.Parse(settings.Values{settings.LoadReportFields: s[key]}).LoadReportFields
}

// parseSettings is the engine's form of settings.
func parseSettings(set Settings) *config { return newConfig(set.parse()) }
