package origin

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"github.com/bulrushferry/bulrushferry/clock"
)

// LoadReport is the load that a server reports, in a field of the form
// "running,waiting,slots" or "running,waiting,slots,pace".
type LoadReport struct {
	// Requests is the number of running and waiting requests, if HasRequests is set.
	Requests    int
	HasRequests bool
	// Pace is the service time now in relation to the usual one, where one is usual and
	// 2.5 two and a half times as long, if HasPace is set.
	Pace    float64
	HasPace bool
	// Invalid is the field's value if a part of it is not what it should be, and empty
	// otherwise. It is set once in invalidLoadInterval only.
	Invalid string
}

const (
	// maxLoad limits the numbers of requests that a server may report.
	maxLoad = 1 << 16
	// loadFigures is the number of figures in a whole report.
	loadFigures = 4
	// usualPace is the figure of a machine at its usual pace. One below minPace or above
	// maxPace is no measurement of a machine and is left out.
	usualPace = 100
	minPace   = 10
	maxPace   = 2000
	// invalidLoadInterval bounds the log lines on invalid reports. Every answer of a
	// server may carry one.
	invalidLoadInterval = 10 * clock.Second
)

// parseLoad parses a load report. It counts an invalid one, and passes it on for the log
// once in invalidLoadInterval.
func (p *Pool) parseLoad(field []byte) LoadReport {
	report, valid := parseLoad(string(field))
	if report.HasPace {
		p.increment("origin.paces")
	}
	if valid {
		return report
	}
	p.increment("origin.invalid_loads")
	now, shownAt := int64(p.config.Clock.Now()), p.invalidLoadShownAt.Load()
	if shownAt == 0 || now-shownAt >= int64(invalidLoadInterval) {
		if p.invalidLoadShownAt.CompareAndSwap(shownAt, max(now, 1)) {
			report.Invalid = strconv.QuoteToASCII(string(field[:min(len(field), maxLoggedValueBytes)]))
		}
	}
	return report
}

// parseLoad reads each figure that can be read. It reports whether the value is valid; an
// empty one is, and so is one without a pace.
func parseLoad(value string) (report LoadReport, valid bool) {
	if strings.TrimSpace(value) == "" {
		return LoadReport{}, true
	}
	parts := strings.SplitN(value, ",", loadFigures+1)
	valid = len(parts) == loadFigures-1 || len(parts) == loadFigures
	if len(parts) >= 2 {
		running, runningRead, runningValid := parseCount(parts[0])
		waiting, waitingRead, waitingValid := parseCount(parts[1])
		if runningRead && waitingRead {
			report.Requests, report.HasRequests = running+waiting, true
		}
		valid = valid && runningValid && waitingValid
	}
	if len(parts) >= loadFigures {
		pace, err := strconv.ParseFloat(strings.TrimSpace(parts[loadFigures-1]), 64)
		if err == nil && pace >= minPace && pace <= maxPace {
			report.Pace, report.HasPace = pace/usualPace, true
		}
		valid = valid && report.HasPace
	}
	return report, valid
}

// parseCount parses a number of requests. One out of range is replaced by the nearest in
// range; it is read, but not valid.
func parseCount(value string) (count int, read, valid bool) {
	n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false, false
	}
	// ParseInt returns the nearest number in range.
	count = int(min(max(n, 0), math.MaxInt32))
	return min(count, maxLoad), true, n >= 0 && n <= maxLoad
}
