package steering

import (
	"strconv"

	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/rcrowley/go-metrics"
)

// invalidRows holds the problems of the rows of a table that cannot be used, by their keys.
type invalidRows map[string]string

const (
	// maxLoggedKeyBytes limits how much of a row's key or a resource's name is logged.
	maxLoggedKeyBytes = 80
	// maxLoggedProblems limits the log lines for the resources of one configuration.
	maxLoggedProblems = 10
)

// replaceInvalid logs and counts the rows of a table that were not invalid in the same way
// before, and forgets those that are no longer invalid. The caller must hold the lock.
func (s *ControlState) replaceInvalid(known invalidRows, rows []InvalidRow) invalidRows {
	s.logNewInvalid(known, rows)
	current := make(invalidRows, len(rows))
	for _, row := range rows {
		current[row.Key] = row.Problem
	}
	return current
}

// logNewInvalid logs and counts the rows that were not invalid in the same way before, and
// remembers them. The caller must hold the lock.
func (s *ControlState) logNewInvalid(known invalidRows, rows []InvalidRow) {
	logged := 0
	for _, row := range rows {
		if known[row.Key] == row.Problem {
			continue
		}
		known[row.Key] = row.Problem
		metrics.GetOrRegisterCounter("rows.invalid", s.config.Metrics).Inc(1)
		if logged++; logged <= maxLoggedServers {
			s.logInvalidRow(row)
		}
	}
}

// OnInvalidRow logs and counts a row that is not in the store's format.
func (s *ControlState) OnInvalidRow(row InvalidRow) {
	metrics.GetOrRegisterCounter("rows.invalid", s.config.Metrics).Inc(1)
	s.logInvalidRow(row)
}

// logInvalidRow logs a row. Its key may hold any bytes.
func (s *ControlState) logInvalidRow(row InvalidRow) {
	s.config.Log.Warn("row cannot be used", "row", quoteForLog(row.Key), "problem", row.Problem)
}

// quoteForLog returns the beginning of a text, which may hold any bytes, for the log.
func quoteForLog(text string) string {
	return strconv.QuoteToASCII(text[:min(len(text), maxLoggedKeyBytes)])
}

// logProblems logs the first of the resources that cannot be used, and how many there are.
func (s *ControlState) logProblems(config *routing.Config) {
	count := len(config.Problems)
	metrics.GetOrRegisterGauge("config.problems", s.config.Metrics).Update(int64(count))
	for _, p := range config.Problems[:min(count, maxLoggedProblems)] {
		s.config.Log.Warn("resource of the configuration cannot be used", "version", config.Version, "kind", p.Kind,
			"name", quoteForLog(p.Name), "problem", p.Reason)
	}
	if count > maxLoggedProblems {
		s.config.Log.Warn("further resources of the configuration cannot be used", "version", config.Version, "problems", count)
	}
}
