package steering

import (
	"strconv"

	"github.com/rcrowley/go-metrics"
)

// invalidRows holds the rows of a table that could not be used at its last update, with
// their problems by their keys.
type invalidRows map[string]string

// maxLoggedKeyBytes limits how much of a row's key is logged.
const maxLoggedKeyBytes = 80

// logInvalidRows logs and counts the rows that were not invalid in the same way at the last
// update. The caller must hold the lock.
func (s *ControlState) logInvalidRows(known *invalidRows, rows []InvalidRow) {
	current := make(invalidRows, len(rows))
	logged := 0
	for _, row := range rows {
		current[row.Key] = row.Problem
		if (*known)[row.Key] == row.Problem {
			continue
		}
		metrics.GetOrRegisterCounter("rows.invalid", s.config.Metrics).Inc(1)
		if logged++; logged <= maxLoggedServers {
			s.logInvalidRow(row)
		}
	}
	*known = current
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
