package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// regionServers holds the servers of one service in one region. Beyond
	// fullRankSize its work for a request does not grow with their number, and that for
	// a changed server only by moving the entries of a sorted array.
	regionServers struct {
		name    string
		hash    uint64
		servers []*serverState
		// ring holds the servers in the order of their hashes. added are those that are
		// still to be put there.
		ring  []ringEntry
		added []ringEntry
		// slots are those of the servers that accept requests.
		slots int
		usage usageMean
	}

	ringEntry struct {
		hash   uint64
		server *serverState
	}

	// ranking holds the highest-ranked servers of one region for an object, in
	// descending order of score.
	ranking struct {
		region *regionServers
		score  float64
		best   [rankedServers]candidate
		count  int
	}
)

const (
	// fullRankSize is the largest number of servers that are all ranked for each
	// object. Among more, each object looks at ringProbes places of the ring
	// (Appleton and O'Reilly, Multi-probe consistent hashing, 2015).
	fullRankSize = 512
	ringProbes   = 21
	// ringWalk is how many servers from its first place on an object tries in addition
	// if it found none that may be used.
	ringWalk = 64
	// maxInsertions is how many servers are inserted into the ring one by one.
	maxInsertions = 8
	// rankedServers is how many servers of a region are ranked for an object: those that
	// may serve it, and others that do if these have too much to do.
	rankedServers = 3
	// sampleSize is how many servers of a larger region are drawn to find a free one.
	sampleSize = 48
)

func newRegionServers(name string) *regionServers {
	return &regionServers{name: name, hash: xxhash.Sum64String(name)}
}

// add adds a server that is not in the region. It must be followed by sortRing before
// servers are ranked.
func (r *regionServers) add(s *serverState) {
	s.index = len(r.servers)
	s.group = r
	if s.balance.usageAt != 0 {
		r.usage.add(s.balance.usage)
	}
	r.servers = append(r.servers, s)
	r.added = append(r.added, ringEntry{hash: s.idHash, server: s})
	r.slots += s.acceptedSlots
}

// sortRing puts the added servers in their places of the ring.
func (r *regionServers) sortRing() {
	if len(r.added) > maxInsertions {
		r.ring = append(r.ring, r.added...)
		slices.SortFunc(r.ring, func(a, b ringEntry) int { return cmp.Compare(a.hash, b.hash) })
	} else {
		for _, entry := range r.added {
			r.ring = slices.Insert(r.ring, r.position(entry.hash), entry)
		}
	}
	r.added = r.added[:0]
}

// remove removes a server of the region.
func (r *regionServers) remove(s *serverState) {
	r.sortRing()
	last := len(r.servers) - 1
	r.servers[s.index] = r.servers[last]
	r.servers[s.index].index = s.index
	r.servers[last] = nil
	r.servers = r.servers[:last]
	for i := r.position(s.idHash); i < len(r.ring); i++ {
		if r.ring[i].server == s {
			r.ring = slices.Delete(r.ring, i, i+1)
			break
		}
	}
	r.slots -= s.acceptedSlots
	s.group = nil
	if s.balance.usageAt != 0 {
		r.usage.remove(s.balance.usage)
	}
}

// position returns the index of the first entry of the ring with the hash or a greater
// one, which may be the ring's length. Hashes are spread evenly, so the search begins
// where the hash would be and widens from there.
func (r *regionServers) position(hash uint64) int {
	guess, _ := bits.Mul64(hash, uint64(len(r.ring)))
	low, high := int(guess), int(guess)
	for step := 1; low > 0 && r.ring[low-1].hash >= hash; step *= 2 {
		high = low - 1
		low = max(0, low-step)
	}
	for step := 1; high < len(r.ring) && r.ring[high].hash < hash; step *= 2 {
		low = high + 1
		high = min(len(r.ring), high+step)
	}
	for low < high {
		middle := int(uint(low+high) >> 1)
		if r.ring[middle].hash < hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// at returns the entry at an index, counted around the ring.
func (r *regionServers) at(index int) ringEntry {
	return r.ring[index%len(r.ring)]
}

// rank fills a ranking with the servers of the region that serve an object first, of
// those that are usable. A server that leaves moves only its own objects.
func (r *regionServers) rank(object uint64, out *ranking, usable func(*serverState) bool) {
	if len(r.servers) <= fullRankSize {
		for _, s := range r.servers {
			if usable(s) {
				out.insert(candidate{state: s, score: mixHashes(object, s.idHash)})
			}
		}
		return
	}
	r.rankProbes(object, out, usable)
	if out.count > 0 {
		return
	}
	for i, first := 0, r.position(object); i < ringWalk; i++ {
		entry := r.at(first + i)
		if usable(entry.server) {
			out.insert(candidate{state: entry.server, score: uint64(ringWalk - i)})
		}
	}
}

// probe returns the servers that are closest behind the object's places of the ring. One
// server may be closest to several places.
func (r *regionServers) probe(object uint64) (probes [ringProbes]candidate) {
	place := object
	for i := range probes {
		place = mixHashes(place, r.hash)
		entry := r.at(r.position(place))
		probes[i] = candidate{state: entry.server, score: ^(entry.hash - place)}
	}
	return probes
}

// rankProbes fills a ranking with the usable ones of the servers that probe returns. It
// looks at the servers themselves only in the order of their scores.
func (r *regionServers) rankProbes(object uint64, out *ranking, usable func(*serverState) bool) {
	probes := r.probe(object)
	for left := ringProbes; left > 0 && out.count < rankedServers; left-- {
		closest := 0
		for i := range left {
			if probes[i].score > probes[closest].score {
				closest = i
			}
		}
		if usable(probes[closest].state) {
			out.insert(probes[closest])
		}
		probes[closest] = probes[left-1]
	}
}

// insert adds a server, keeping the best ones. One that is ranked already keeps its best
// score.
func (r *ranking) insert(c candidate) {
	for i := range r.count {
		if r.best[i].state != c.state {
			continue
		}
		if r.best[i].score >= c.score {
			return
		}
		copy(r.best[i:], r.best[i+1:r.count])
		r.count--
		break
	}
	i := r.count
	for i > 0 && r.best[i-1].score < c.score {
		i--
	}
	if i == rankedServers {
		return
	}
	copy(r.best[i+1:], r.best[i:rankedServers-1])
	r.best[i] = c
	r.count = min(r.count+1, rankedServers)
}
