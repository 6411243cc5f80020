package decision

import "cherrygap/internal/settings"

// Settings maps the keys of package settings to their texts. A missing key has the empty text.
type Settings map[string]string

// parse returns the parsed settings.
func (s Settings) parse() *settings.Settings { return settings.Parse(settings.Values(s)) }

// Number returns a setting as a number.
func (s Settings) Number(key string) float64 { return settings.ParseNumber(s[key]).Float() }

// Duration returns a setting as a duration, rounded towards 0.
func (s Settings) Duration(key string) Time { return timeOf(settings.ParseDuration(s[key])) }

// Enabled reports whether a setting is on.
func (s Settings) Enabled(key string) bool {
	return settings.Parse(settings.Values{settings.Peers: s[key]}).Peers
}

// List returns the entries of a comma-separated setting.
func (s Settings) List(key string) []string {
	return settings.Parse(settings.Values{settings.LoadReportFields: s[key]}).LoadReportFields
}

// parseSettings returns the settings as the engine uses them.
func parseSettings(set Settings) *config { return newConfig(set.parse()) }
