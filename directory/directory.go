// Package directory decides which instances a caller is sent to. It addresses fleets of
// uneven instances, where a uniform choice overloads the small ones: the capacities within a
// failure domain may differ by a factor of seven and more. It also addresses look-ups that
// come while most instances are down, starting, or near a limit of their own.
// Callers pick uniformly among the addresses of their answer and stop using connections to
// addresses that are missing from a newer one.
package directory

import "github.com/bulrushferry/bulrushferry/clock"

type (
	// Instance is an entry instance as its membership entry describes it.
	Instance struct {
		Name     string
		Address  string
		Region   string
		Domain   string
		Capacity Capacity
		// NearLimit is set while the instance says that it is near a limit of its own.
		NearLimit bool
	}

	// Capacity is what an instance may use. Zero values are unknown.
	Capacity struct {
		// Cores is the processor time in cores, such as 0.8.
		Cores        float64
		MemoryMB     float64
		LinkMbitPerS float64
		Descriptors  float64
	}

	// Caller identifies who looks up addresses. The same caller gets the same answer
	// while the instances do not change.
	Caller struct {
		// Address is the caller's IP address.
		Address string
		Region  string
		Domain  string
		// Shared is set if many callers are known to use the address. They get as many
		// addresses as possible, because all of them get the same ones.
		Shared bool
	}

	// View is what an instance knows of the fleet.
	View struct {
		// Ready are the instances that take requests, this one included if it does.
		Ready []Instance
		// Isolated is set while this instance hears from no other. LastHeard are then
		// the instances that were ready when they were last heard from.
		Isolated  bool
		LastHeard []Instance
		// Self is this instance's name, and SelfReady set if it takes requests.
		Self      string
		SelfReady bool
		// Unready are the other instances that may be running but are not known to take
		// requests, and this one unless it stops.
		Unready []Instance
	}

	// Answer is the result of a look-up.
	Answer struct {
		Addresses []string
		Cause     Cause
	}

	// Cause tells why an answer is not a full one.
	Cause string
)

const (
	// Full means that the answer names instances of the caller's failure domain.
	Full Cause = "full"
	// OtherDomain means that no instance of the caller's failure domain is ready.
	OtherDomain Cause = "other_domain"
	// OtherRegion means that no instance of the caller's region is ready.
	OtherRegion Cause = "other_region"
	// NearLimits means that all instances that could be named are near a limit.
	NearLimits Cause = "near_limits"
	// Isolated means that this instance hears from no other and also named those that it
	// heard from last.
	Isolated Cause = "isolated"
	// NotReady means that no instance is known to be ready, and that those were named
	// that may become ready next.
	NotReady Cause = "not_ready"
	// Nobody means that there is no instance to name.
	Nobody Cause = "nobody"
)

const (
	// MaxAddresses is the largest number of addresses in an answer.
	MaxAddresses = 64
	// minAddresses is the smallest number of addresses in an answer if there are as many
	// instances, so that a caller can turn to another one at once. With 3, the small
	// instances of a domain with few callers get less even shares.
	minAddresses = 2
	// unreadyMaxAge limits how long callers may keep an answer that names no instance
	// known to be ready. A full answer usually follows within a second of a start.
	unreadyMaxAge = 250 * clock.Millis(1)
)

// Choose returns the addresses for a caller: of ready instances in its failure domain, or
// those in its region if there are none, or else of any.
func Choose(caller Caller, view View) Answer {
	candidates := view.Ready
	if view.Isolated {
		candidates = append(append([]Instance(nil), view.Ready...), view.LastHeard...)
	}
	if len(candidates) == 0 {
		return chooseUnready(caller, view.Unready)
	}
	local, cause := nearest(caller, candidates)
	isolated := len(view.Ready) > 0 && view.Isolated && len(view.LastHeard) > 0
	if len(view.Ready) == 0 {
		cause = NotReady
	} else if isolated {
		cause = Isolated
	}
	free := filter(local, func(in Instance) bool { return !in.NearLimit })
	if len(free) == 0 {
		free, cause = local, NearLimits
	}
	chosen := sample(caller, free)
	if isolated {
		chosen = withSelf(chosen, view)
	}
	return Answer{Addresses: addresses(chosen), Cause: cause}
}

// chooseUnready answers a look-up while no instance is known to be ready.
func chooseUnready(caller Caller, unready []Instance) Answer {
	if len(unready) == 0 {
		return Answer{Cause: Nobody}
	}
	local, _ := nearest(caller, unready)
	return Answer{Addresses: addresses(sample(caller, local)), Cause: NotReady}
}

// nearest returns the instances in the caller's failure domain, or those in its region if
// there are none, or else all.
func nearest(caller Caller, instances []Instance) ([]Instance, Cause) {
	isInDomain := func(in Instance) bool { return in.Domain == caller.Domain }
	isInRegion := func(in Instance) bool { return in.Region == caller.Region }
	if inDomain := filter(instances, isInDomain); len(inDomain) > 0 {
		return inDomain, Full
	}
	if inRegion := filter(instances, isInRegion); len(inRegion) > 0 {
		return inRegion, OtherDomain
	}
	return instances, OtherRegion
}

// filter returns the instances that match. The result may be the given slice.
func filter(instances []Instance, matches func(Instance) bool) []Instance {
	count := 0
	for _, in := range instances {
		if matches(in) {
			count++
		}
	}
	if count == len(instances) {
		return instances
	}
	out := make([]Instance, 0, count)
	for _, in := range instances {
		if matches(in) {
			out = append(out, in)
		}
	}
	return out
}

// withSelf adds this instance to the chosen ones, in place of the last one if there are
// MaxAddresses: it is the only one that is known to be running.
func withSelf(chosen []Instance, view View) []Instance {
	for _, in := range chosen {
		if in.Name == view.Self {
			return chosen
		}
	}
	for _, in := range view.Ready {
		if in.Name == view.Self {
			return append(chosen[:min(len(chosen), MaxAddresses-1)], in)
		}
	}
	return chosen
}

func addresses(instances []Instance) []string {
	out := make([]string, 0, len(instances))
	for _, in := range instances {
		out = append(out, in.Address)
	}
	return out
}

// MaxAge returns how long callers may keep an answer, given how long they may keep a full
// one.
func (a Answer) MaxAge(full clock.Millis) clock.Millis {
	if a.Cause == NotReady {
		return min(full, unreadyMaxAge)
	}
	return full
}
