package tokens

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/quota"
)

type (
	// history holds what was leased to this instance lately. From it follows what the bucket
	// of a workspace that nobody has used holds, without an entry for each of them. It is not
	// safe for concurrent use.
	history struct {
		// periods are in the order of their times, the last one is the present.
		periods []period
		// steps is the work of filling a bucket through all periods.
		steps int
	}

	// period is a time in which the leases were the same. It lasts until the next one.
	period struct {
		holding
		from clock.Millis
	}

	// holding is what is leased to this instance at some time.
	holding struct {
		leases quota.Holdings
		// share is the fraction of all limits that is the share of each instance.
		share float64
	}
)

const (
	// maxSteps and maxHistory bound the history, the first one independently of the size of the
	// fleet. A bucket is taken to have been empty before, which costs it nothing if it has
	// filled since.
	maxSteps   = 512
	maxHistory = 60 * clock.Second
)

// newHistory returns a history that begins with empty buckets.
func newHistory(from clock.Millis, first holding) *history {
	return &history{periods: []period{{holding: first, from: from}}, steps: first.steps()}
}

// add begins a period, and forgets those that ended long ago. A time before the present period
// counts as its beginning.
func (h *history) add(from clock.Millis, next holding) {
	last := &h.periods[len(h.periods)-1]
	h.steps += next.steps()
	if from <= last.from {
		h.steps -= last.steps()
		last.holding = next
	} else {
		h.periods = append(h.periods, period{holding: next, from: from})
	}
	for len(h.periods) > 1 && (h.steps > maxSteps || h.periods[1].from < from-maxHistory) {
		h.steps -= h.periods[0].steps()
		h.periods = h.periods[1:]
	}
}

// current returns what is leased to this instance now.
func (h *history) current() holding {
	return h.periods[len(h.periods)-1].holding
}

// bucket returns the bucket of a workspace, given its key, that has not been used.
func (h *history) bucket(key uint64, limit quota.Limit) *quota.Bucket {
	bucket := quota.NewBucket(h.periods[0].from, limit, h.periods[0].fraction(key))
	for _, later := range h.periods[1:] {
		bucket.SetFraction(later.from, later.fraction(key))
	}
	return bucket
}

// fraction returns the fraction of the limit of a workspace, given its key.
func (h holding) fraction(key uint64) float64 {
	return min(1, h.share*float64(h.leases.Shares(key)))
}

// steps returns the work of counting the shares of one workspace.
func (h holding) steps() int {
	return 1 + h.leases.Leases()
}
