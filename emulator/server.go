package emulator

import (
	"math/rand/v2"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
)

type (
	// server is a simulated backend server. It runs one request per slot,
	// queues further ones up to a limit, and keeps the most recently used
	// objects warm.
	server struct {
		info    placement.Server
		service Service
		// slowdown is the factor by which service times are longer here.
		slowdown float64
		spells   *spells
		tail     Tail
		// slowness is the factor by which work takes longer until slowUntil.
		slowness  float64
		slowUntil clock.Millis
		running   int
		// started counts the jobs that ran.
		started int
		queue   []job
		// warm holds the warm objects, least recently used first.
		warm []uint64
	}

	// job is a request at a server. done is called when the job ends, with
	// whether it ran, and the server's load and reported pace at that time.
	job struct {
		kind     *RequestKind
		object   uint64
		deadline clock.Millis
		done     func(ran bool, load, pace int)
	}
)

// percent is the unit of a reported pace.
const percent = 100

const (
	// maxSlowdown and minSlowdown bound the slowdown of servers.
	maxSlowdown = 1.15
	minSlowdown = 0.9
	// jitter is the maximum relative deviation of a single service time.
	jitter = 0.1
)

// accept starts or queues a job, or declines it if the queue is full.
func (s *server) accept(e *eventQueue, random *rand.Rand, j job) {
	switch {
	case s.running < s.service.Slots:
		s.start(e, random, j)
	case len(s.queue) < s.service.QueueCapacity:
		s.queue = append(s.queue, j)
	default:
		j.done(false, s.load(), s.reportedPace(e.now))
	}
}

// reportedPace returns the pace that the server reports, in percent; zero means none.
func (s *server) reportedPace(now clock.Millis) int {
	if !s.spells.config.Reported {
		return 0
	}
	return int(s.spells.pace(now) * percent)
}

// load returns the number of running and queued jobs.
func (s *server) load() int {
	return s.running + len(s.queue)
}

func (s *server) start(e *eventQueue, random *rand.Rand, j job) {
	s.running++
	s.started++
	serviceTime := j.kind.ColdServiceTime
	if s.touch(j.object) {
		serviceTime = j.kind.WarmServiceTime
	}
	work := float64(serviceTime) * s.slowdown * (1 - jitter + 2*jitter*random.Float64())
	if s.tail.Share > 0 && random.Float64() < s.tail.Share {
		work *= s.tail.Factor
	}
	if e.now < s.slowUntil {
		work *= s.slowness
	}
	e.schedule(clock.Millis(s.spells.duration(e.now, work)), func() {
		s.running--
		j.done(true, s.load(), s.reportedPace(e.now))
		s.startQueued(e, random)
	})
}

// startQueued starts queued jobs while slots are free, and declines those whose
// deadline has passed.
func (s *server) startQueued(e *eventQueue, random *rand.Rand) {
	for len(s.queue) > 0 && s.running < s.service.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if e.now >= j.deadline {
			j.done(false, s.load(), s.reportedPace(e.now))
			continue
		}
		s.start(e, random, j)
	}
}

// touch marks an object as the most recently used one and reports whether it
// was warm.
func (s *server) touch(object uint64) bool {
	index := slices.Index(s.warm, object)
	if index >= 0 {
		s.warm = slices.Delete(s.warm, index, index+1)
	}
	s.warm = append(s.warm, object)
	if len(s.warm) > s.service.MaxWarmObjects {
		s.warm = s.warm[1:]
	}
	return index >= 0
}
