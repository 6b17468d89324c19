package placement

import "github.com/bulrushferry/bulrushferry/clock"

// copies learns how many servers may serve one object. A server keeps few
// objects warm; when requests on objects that it has just handled are slow again
// and again, there are too many copies. When requests are turned away although
// objects stay warm, there may be more.
type copies struct {
	count int
	// misses is the share of the requests on objects known to be warm that
	// took a cold one's time.
	misses    float64
	refused   bool
	checkedAt clock.Millis
}

const (
	firstCopies = 1
	minCopies   = 1
	maxCopies   = 4
	missWeight  = 0.03
	// tooManyMisses and fewMisses are the shares at which a copy goes or comes.
	tooManyMisses = 0.2
	fewMisses     = 0.05
	copiesPeriod  = clock.Second
)

func newCopies(now clock.Millis) *copies {
	return &copies{count: firstCopies, checkedAt: now}
}

// note takes in whether an object that was known to be warm was not.
func (c *copies) note(missed bool) {
	c.misses = blend(c.misses, share(missed), missWeight)
}

// adjust changes the number of copies by one at most, at long intervals.
func (c *copies) adjust(now clock.Millis) {
	if now-c.checkedAt < copiesPeriod {
		return
	}
	c.checkedAt = now
	switch {
	case c.misses > tooManyMisses && c.count > minCopies:
		c.count--
		c.misses = tooManyMisses / 2
	case c.misses < fewMisses && c.refused && c.count < maxCopies:
		c.count++
	}
	c.refused = false
}
