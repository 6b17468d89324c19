package emulator

import (
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
)

// spells is the course of one server's pace: usual and slow times in turn, of random
// lengths.
type spells struct {
	config Spells
	random *rand.Rand
	// slow is the state until the time of the next change.
	slow   bool
	nextAt float64
	// pending holds the later changes that were drawn already.
	pending []float64
}

// newSpells returns a course that is the same for the same seed and server.
func newSpells(c Spells, seed, server uint64) *spells {
	s := &spells{config: c, random: rand.New(rand.NewPCG(seed, server))}
	s.nextAt = s.draw(false)
	return s
}

// draw returns the length of a usual or a slow time.
func (s *spells) draw(slow bool) float64 {
	mean := float64(s.config.Length)
	if !slow {
		mean *= (1 - s.config.Share) / s.config.Share
	}
	return s.random.ExpFloat64() * mean
}

// enabled reports whether the server has spells at all.
func (s *spells) enabled() bool {
	return s.config.Share > 0 && s.config.Factor > 0 && s.config.Length > 0
}

// advance moves to the given time. Times must not go back.
func (s *spells) advance(now float64) {
	for s.nextAt <= now {
		s.slow = !s.slow
		if len(s.pending) == 0 {
			s.nextAt += s.draw(s.slow)
			continue
		}
		s.nextAt, s.pending = s.pending[0], s.pending[1:]
	}
}

// pace returns the factor by which service times are longer now.
func (s *spells) pace(now clock.Millis) float64 {
	if !s.enabled() {
		return 1
	}
	s.advance(float64(now))
	return s.factor(s.slow)
}

func (s *spells) factor(slow bool) float64 {
	if slow {
		return s.config.Factor
	}
	return 1
}

// duration returns how long work takes that starts now and takes the given time at the
// usual pace.
func (s *spells) duration(now clock.Millis, work float64) float64 {
	if !s.enabled() {
		return work
	}
	s.advance(float64(now))
	at, slow, next := float64(now), s.slow, s.nextAt
	for i := 0; ; i++ {
		factor := s.factor(slow)
		if at+work*factor <= next {
			return at + work*factor - float64(now)
		}
		work -= (next - at) / factor
		at, slow = next, !slow
		if i == len(s.pending) {
			s.pending = append(s.pending, next+s.draw(slow))
		}
		next = s.pending[i]
	}
}
