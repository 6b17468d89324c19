package emulator

import (
	"math/rand/v2"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
)

type (
	// server is a backend server: it runs as many requests as it has slots,
	// queues a few more, and keeps the objects that it handled last warm.
	server struct {
		info    placement.Server
		service Service
		// speed scales the time of all work here.
		speed   float64
		running int
		queue   []visit
		// warm holds objects, the one that was handled last at the end.
		warm []uint64
	}

	// visit is a request at a server. done is told whether it ran, and the
	// server's load then.
	visit struct {
		kind     *RequestKind
		object   uint64
		deadline clock.Millis
		done     func(ran bool, load int)
	}
)

const (
	// slowest and fastest bound the speeds of servers of one service, noise the
	// variation between runs.
	slowest = 1.15
	fastest = 0.9
	noise   = 0.1
)

// arrive takes a request in, or declines it.
func (s *server) arrive(e *events, random *rand.Rand, v visit) {
	switch {
	case s.running < s.service.Slots:
		s.start(e, random, v)
	case len(s.queue) < s.service.QueueCapacity:
		s.queue = append(s.queue, v)
	default:
		v.done(false, s.load())
	}
}

func (s *server) load() int {
	return s.running + len(s.queue)
}

func (s *server) start(e *events, random *rand.Rand, v visit) {
	s.running++
	work := v.kind.ColdServiceTime
	if s.handle(v.object) {
		work = v.kind.WarmServiceTime
	}
	took := float64(work) * s.speed * (1 - noise + 2*noise*random.Float64())
	e.after(clock.Millis(took), func() {
		s.running--
		v.done(true, s.load())
		s.next(e, random)
	})
}

// next starts what waits; what has waited past its deadline is declined.
func (s *server) next(e *events, random *rand.Rand) {
	for len(s.queue) > 0 && s.running < s.service.Slots {
		v := s.queue[0]
		s.queue = s.queue[1:]
		if e.now >= v.deadline {
			v.done(false, s.load())
			continue
		}
		s.start(e, random, v)
	}
}

// handle notes that an object is handled and reports whether it was warm.
func (s *server) handle(object uint64) bool {
	at := slices.Index(s.warm, object)
	if at >= 0 {
		s.warm = slices.Delete(s.warm, at, at+1)
	}
	s.warm = append(s.warm, object)
	if len(s.warm) > s.service.MaxWarmObjects {
		s.warm = s.warm[1:]
	}
	return at >= 0
}
