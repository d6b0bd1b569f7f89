package simwire

import (
	"mintdoor/decide"
	"mintdoor/internal/settings"
)

// ParseSettings parses the path=value lines of a BORN record. The second result holds the names of the values in a
// load report.
func ParseSettings(text string) (*decide.Settings, []string, error) {
	d, err := settings.ParseLines(text)
	if err != nil {
		return nil, nil, err
	}
	return d.Decide, d.ReportFields, nil
}
