package admission

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// shares tells how much of one request type's capacity each workspace has had lately, in
	// relation to its usual part. A workspace's surge is measured against that of the others,
	// so that a request type of which all callers send more at once is no reason to hold
	// back anyone.
	shares struct {
		startedAt   clock.Millis
		total       usage
		byWorkspace map[string]*usage
		prunedAt    clock.Millis
	}

	// usage counts served requests in two decaying sums.
	usage struct {
		recent, usual float64
		at            clock.Millis
	}
)

const (
	// recentTime is the time constant of what a workspace has had lately. One instance may
	// see a request of a workspace once a second only, so it must not be much shorter.
	recentTime = 3 * clock.Second
	// usualTime is the time constant of a workspace's usual rate.
	usualTime = 60 * clock.Second
	// overWeight is the weight in the usual rate of requests beyond the share. Lasting growth
	// becomes usual within minutes, a surge of some seconds does not.
	overWeight = 0.25
	// burst is how many requests beyond its share a workspace may have had lately. It covers
	// the random variation where one instance sees few of a workspace's requests.
	burst = 2
	// maxSurge bounds the surge of the others that a workspace may share.
	maxSurge = 4
	// minOthers is the part of the requests, of all other workspaces together, below which
	// there is nobody to protect from a workspace.
	minOthers = 0.05
	// minUsualPart is the smallest usual rate of a workspace, in relation to the mean of all,
	// so that a new one has a share.
	minUsualPart = 0.2
	// minExpected is the smallest recent count that a share amounts to.
	minExpected = 0.05
	// minUsage is the decayed usual count below which a workspace is forgotten.
	minUsage = 0.05
	// pruneInterval is how often workspaces are forgotten.
	pruneInterval = 60 * clock.Second
)

func newShares(now clock.Millis) *shares {
	return &shares{startedAt: now, total: usage{at: now}, byWorkspace: make(map[string]*usage), prunedAt: now}
}

// record counts a request that was sent to a server. Over is set where it was beyond the
// workspace's share.
func (s *shares) record(now clock.Millis, workspace string, over bool) {
	u, ok := s.byWorkspace[workspace]
	if !ok {
		u = &usage{at: now}
		s.byWorkspace[workspace] = u
	}
	weight := 1.0
	if over {
		weight = overWeight
	}
	u.add(now, weight)
	s.total.add(now, weight)
	if now-s.prunedAt >= pruneInterval {
		s.prune(now)
	}
}

// used returns what a workspace has had lately as a multiple of its share, and how much one
// request more adds to it.
func (s *shares) used(now clock.Millis, workspace string) (used, cost float64) {
	recent, expected := s.expectation(now, workspace)
	return recent / expected, 1 / expected
}

// isOver reports whether a workspace has had more than a multiple of its share lately.
func (s *shares) isOver(now clock.Millis, workspace string, multiple float64) bool {
	recent, expected := s.expectation(now, workspace)
	return recent > expected*multiple+burst
}

// expectation returns the recent count of a workspace and the one that its share amounts to,
// which is positive.
func (s *shares) expectation(now clock.Millis, workspace string) (recent, expected float64) {
	own := usage{at: now}
	if u, ok := s.byWorkspace[workspace]; ok {
		own = u.decayed(now)
	}
	total := s.total.decayed(now)
	age := now - s.startedAt + 1
	// Sums over less time than their time constants hold less.
	toRecent := (1 - clock.Decay(age, recentTime)) / (1 - clock.Decay(age, usualTime)) * float64(recentTime) / float64(usualTime)
	usual := max(own.usual, minUsualPart*total.usual/float64(max(len(s.byWorkspace), 1)))
	surge := 1.0
	others := total.usual - own.usual
	if others < minOthers*total.usual || total.usual == 0 {
		return 0, max(usual*toRecent, 1)
	}
	if others*toRecent > 0 {
		surge = min(max((total.recent-own.recent)/(others*toRecent), 1), maxSurge)
	}
	return own.recent, max(usual*toRecent*surge, minExpected)
}

func (s *shares) prune(now clock.Millis) {
	s.prunedAt = now
	for name, u := range s.byWorkspace {
		if u.decayed(now).usual < minUsage {
			delete(s.byWorkspace, name)
		}
	}
}

// decayed returns the sums decayed to a time.
func (u *usage) decayed(now clock.Millis) usage {
	return usage{recent: u.recent * clock.Decay(now-u.at, recentTime), usual: u.usual * clock.Decay(now-u.at, usualTime), at: now}
}

func (u *usage) add(now clock.Millis, weight float64) {
	*u = u.decayed(now)
	u.recent++
	u.usual += weight
}
