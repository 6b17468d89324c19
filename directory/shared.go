package directory

import "github.com/bulrushferry/bulrushferry/clock"

// SharedAddresses detects addresses that many callers use, such as that of a gateway. All of
// them would get the same few instances. It is not safe for concurrent use.
type SharedAddresses struct {
	// windowFrom is when the counts of look-ups by address began.
	windowFrom clock.Millis
	counts     map[string]int
	// sharedUntil holds until when an address counts as shared.
	sharedUntil map[string]clock.Millis
}

const (
	// countWindow is the time over which look-ups of an address are counted.
	countWindow = 10 * clock.Second
	// maxSingleLookups is the number of look-ups in that time above which an address
	// is shared. A single caller asks up to three instances, each once in 2 s.
	maxSingleLookups = 20
	// sharedTime is how long an address then counts as shared, so that its callers
	// rarely lose addresses when their answers shrink again.
	sharedTime = 60 * clock.Second
	// maxCounted limits the number of addresses that are counted at a time.
	maxCounted = 4096
)

// Record counts a look-up and reports whether its address is shared.
func (s *SharedAddresses) Record(address string, now clock.Millis) bool {
	if s.counts == nil || now-s.windowFrom >= countWindow {
		s.startWindow(now)
	}
	count, known := s.counts[address]
	if known || len(s.counts) < maxCounted {
		s.counts[address] = count + 1
	}
	if count >= maxSingleLookups {
		s.sharedUntil[address] = now + sharedTime
	}
	return s.sharedUntil[address] > now
}

// startWindow starts a new window of counts and drops addresses that are no longer shared.
func (s *SharedAddresses) startWindow(now clock.Millis) {
	s.windowFrom = now
	s.counts = make(map[string]int, len(s.counts))
	kept := make(map[string]clock.Millis)
	for address, until := range s.sharedUntil {
		if until > now {
			kept[address] = until
		}
	}
	s.sharedUntil = kept
}
