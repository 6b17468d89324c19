package backend

import (
	"sort"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Candidate is what is known of one backend server when a request is placed.
	Candidate struct {
		Name string
		// Slots is how many requests this instance may have running there.
		Slots    int
		InFlight int
		// Latency is this instance's own estimate; zero means unknown.
		Latency clock.Millis
		// LastChosenAt is when a request was last sent there.
		LastChosenAt clock.Millis
		// ReportedBusy is the server's own, possibly old or wrong, word.
		ReportedBusy bool
		// ExclusionReason says why the server gets no request; empty means it may.
		ExclusionReason string
	}

	// Random yields numbers in [0, n).
	Random func(n int) int
)

const (
	// outlierFactor is the multiple of the median latency that makes a server
	// an outlier.
	outlierFactor = 4
	// outlierFloor is the least latency of an outlier.
	outlierFloor = 20 * clock.Millis(1)
	// outlierRetryAfter is how long an outlier is left alone between tries.
	outlierRetryAfter = 2 * clock.Second
	// maxOutlierShare is the part of the servers, in percent, that may be
	// outliers. When more look unwell the estimates are not believed.
	maxOutlierShare = 34
)

// Choose picks a server for one request: two are drawn among those with a free
// unit, and the one with the shorter expected time wins. It returns -1 when no
// server has room.
func Choose(now clock.Millis, candidates []Candidate, random Random) int {
	slow := outliers(candidates)
	free := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if !hasRoom(c) {
			continue
		}
		if slow[i] && (c.InFlight > 0 || now-c.LastChosenAt < outlierRetryAfter) {
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

func hasRoom(c Candidate) bool {
	return c.ExclusionReason == "" && c.InFlight < c.Slots
}

// expectedTime estimates the time of one more request in arbitrary units. A
// server that calls itself busy counts as having one more request.
func expectedTime(c Candidate) float64 {
	load := float64(c.InFlight+1) / float64(c.Slots)
	if c.ReportedBusy {
		load += 1 / float64(c.Slots)
	}
	return load * float64(max(c.Latency, 1))
}

// outliers marks the servers that are much slower than the median one.
func outliers(candidates []Candidate) []bool {
	slow := make([]bool, len(candidates))
	limit := max(medianLatency(candidates)*outlierFactor, outlierFloor)
	count := 0
	for i, c := range candidates {
		if c.Latency > limit {
			slow[i] = true
			count++
		}
	}
	if count*100 > maxOutlierShare*len(candidates) {
		return make([]bool, len(candidates))
	}
	return slow
}

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
