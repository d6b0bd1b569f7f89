package simwire

import (
	"mintdoor/decide"
	"mintdoor/internal/settings"
)

// ParseSettings reads the path=value lines of a BORN. The second result is the names of the load report's
// values.
func ParseSettings(text string) (*decide.Settings, []string, error) {
	d, err := settings.ParseLines(text)
	if err != nil {
		return nil, nil, err
	}
	return d.Decide, d.ReportFields, nil
}
