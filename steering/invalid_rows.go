package steering

import (
	"strconv"

	"github.com/rcrowley/go-metrics"
)

// invalidRows holds the problems of the rows of a table that cannot be used, by their keys.
type invalidRows map[string]string

// maxLoggedKeyBytes limits how much of a row's key is logged.
const maxLoggedKeyBytes = 80

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
	key := strconv.QuoteToASCII(row.Key[:min(len(row.Key), maxLoggedKeyBytes)])
	s.config.Log.Warn("row cannot be used", "row", key, "problem", row.Problem)
}
