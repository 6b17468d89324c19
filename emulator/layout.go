package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/bulrushferry/bulrushferry/clock"
)

type (
	// Instance is an entry instance and the failure domain it stands in.
	Instance struct {
		Name   string
		Domain FailureDomain
	}

	// regionPair names the link from one region to another.
	regionPair struct{ from, to string }
)

const bitsPerByte = 8

// instances returns the entry instances of a failure domain.
func (d FailureDomain) instances() []Instance {
	if d.Instances <= 1 {
		return []Instance{{Name: d.Name, Domain: d}}
	}
	out := make([]Instance, d.Instances)
	for i := range out {
		out[i] = Instance{Name: fmt.Sprintf("%s-%d", d.Name, i+1), Domain: d}
	}
	return out
}

// domainOfServer returns the failure domain of a service's server, so that each domain has
// its part of the servers.
func (c Config) domainOfServer(index, servers int) FailureDomain {
	total := 0.0
	for _, d := range c.FailureDomains {
		total += d.weight()
	}
	point := (float64(index) + 0.5) / float64(servers) * total
	for _, d := range c.FailureDomains {
		if point -= d.weight(); point < 0 {
			return d
		}
	}
	return c.FailureDomains[len(c.FailureDomains)-1]
}

func (d FailureDomain) weight() float64 {
	if d.ServerWeight <= 0 {
		return 1
	}
	return d.ServerWeight
}

// draw returns the number of a random workspace. Large ones come first.
func (w Workspaces) draw(random *rand.Rand) int {
	if w.Count <= 1 {
		return 0
	}
	// The square of an even draw favors low numbers.
	u := random.Float64()
	return int(u * u * float64(w.Count))
}

// part returns the part of all requests that belong to a workspace.
func (w Workspaces) part(number int) float64 {
	if w.Count <= 1 {
		return 1
	}
	return math.Sqrt(float64(number+1)/float64(w.Count)) - math.Sqrt(float64(number)/float64(w.Count))
}

// isSurging reports whether a workspace sends more requests of a kind than usual.
func (c Config) isSurging(kind *RequestKind, workspace int, now clock.Millis) bool {
	for _, s := range c.Surges {
		if s.Kind == kind.Name && now >= s.From && now < s.To && s.OneWorkspace && s.Workspace == workspace {
			return true
		}
	}
	return false
}

// home returns the home region of a workspace, or an empty string if it has none.
func (c Config) home(workspace int) string {
	every := c.Workspaces.HomedEvery
	if every <= 0 || workspace%every != 0 {
		return ""
	}
	return c.FailureDomains[workspace/every%len(c.FailureDomains)].Region
}

// linkDelay returns how long the bytes of a request and its response wait for the link
// between two regions and travel over it, and books the link for that time.
func (sim *simulation) linkDelay(from, to string, bytes int) clock.Millis {
	rate := sim.config.RegionLinkMbitPerS
	if from == to || rate <= 0 || bytes == 0 {
		return 0
	}
	pair := regionPair{from, to}
	free := max(sim.linkFreeAt[pair], float64(sim.events.now))
	free += float64(bytes*bitsPerByte) / (rate * 1e6) * float64(clock.Second)
	sim.linkFreeAt[pair] = free
	return clock.Millis(free) - sim.events.now
}
