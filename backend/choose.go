package backend

import (
	"sort"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Candidate is the state of one backend server when a request is assigned.
	Candidate struct {
		Name string
		// Slots limits the concurrent requests of this instance to the server.
		Slots    int
		InFlight int
		// Latency is this instance's moving average; zero means unknown.
		Latency clock.Millis
		// LastChosenAt is when the server was last chosen for a request.
		LastChosenAt clock.Millis
		// ReportedBusy is set if the server's last load report shows it nearly
		// full. The report may be stale or wrong.
		ReportedBusy bool
		// ExclusionReason is why the server must not be chosen. It is empty if the
		// server may be chosen.
		ExclusionReason string
	}

	// Random returns a random number in [0, n).
	Random func(n int) int
)

const (
	// outlierFactor is the multiple of the median latency above which a server
	// is an outlier.
	outlierFactor = 4
	// minOutlierLatency is the latency up to which no server is an outlier.
	minOutlierLatency = 20 * clock.Millis(1)
	// outlierRetryInterval is the interval between requests to an outlier.
	outlierRetryInterval = 2 * clock.Second
	// maxOutlierPercent is the percentage of the servers that may be outliers.
	// If there are more, the estimates are not trusted and none is an outlier.
	maxOutlierPercent = 34
)

// Choose selects a server for one request by the power of two choices: it draws
// two servers with a free slot at random, which may be the same one, and returns
// the one with the shorter expected time. An outlier is drawn only if it has no
// request in flight and has not been chosen lately. Choose returns -1 if no
// server can be drawn.
func Choose(now clock.Millis, candidates []Candidate, random Random) int {
	slow := outliers(candidates)
	free := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if !hasFreeSlot(c) {
			continue
		}
		if slow[i] && (c.InFlight > 0 || now-c.LastChosenAt < outlierRetryInterval) {
			continue
		}
		free = append(free, i)
	}
	if len(free) == 0 {
		return -1
	}
	first, second := free[random(len(free))], free[random(len(free))]
	if expectedTime(candidates[second]) < expectedTime(candidates[first]) {
		return second
	}
	return first
}

func hasFreeSlot(c Candidate) bool {
	return c.ExclusionReason == "" && c.InFlight < c.Slots
}

// expectedTime estimates how long one more request takes, in arbitrary units. A
// server that reported itself busy counts as having one more request in flight.
func expectedTime(c Candidate) float64 {
	load := float64(c.InFlight+1) / float64(c.Slots)
	if c.ReportedBusy {
		load += 1 / float64(c.Slots)
	}
	return load * float64(max(c.Latency, 1))
}

// outliers marks the servers that are much slower than the median.
func outliers(candidates []Candidate) []bool {
	slow := make([]bool, len(candidates))
	limit := max(medianLatency(candidates)*outlierFactor, minOutlierLatency)
	count := 0
	for i, c := range candidates {
		if c.Latency > limit {
			slow[i] = true
			count++
		}
	}
	if count*100 > maxOutlierPercent*len(candidates) {
		return make([]bool, len(candidates))
	}
	return slow
}

// medianLatency returns the upper median of the known latencies, or zero.
func medianLatency(candidates []Candidate) clock.Millis {
	known := make([]clock.Millis, 0, len(candidates))
	for _, c := range candidates {
		if c.Latency > 0 {
			known = append(known, c.Latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	sort.Slice(known, func(i, j int) bool { return known[i] < known[j] })
	return known[len(known)/2]
}
