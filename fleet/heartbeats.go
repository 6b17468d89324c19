package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

type (
	// memberLease is a lease that a process has stated. Its number is zero if there is none.
	memberLease struct {
		number int64
		hash   uint64
		// statedAt is a time by this instance's clock at or before which the process has
		// stated it last.
		statedAt clock.Millis
	}

	// LeaseReport is the latest lease of another process.
	LeaseReport struct {
		Process uint64
		Number  int64
		Hash    uint64
		Lease   *wire.Lease
		// StatedAt is a time at or before which the process has stated it last.
		StatedAt clock.Millis
	}
)

const (
	// leaseLagUnit is the unit in which a lease's age beyond that of a heartbeat is sent.
	leaseLagUnit = 32 * clock.Millis(1)
	// maxKnownLeases bounds the leases that are kept. In normal operation all instances state
	// the same one or two.
	maxKnownLeases = 64
)

// ProcessID returns the number that identifies a process in leases.
func ProcessID(incarnation string) uint64 {
	return xxhash.Sum64String(incarnation)
}

// leaseHash returns the hash by which a lease is referred to.
func leaseHash(lease *wire.Lease) uint64 {
	raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(lease)
	return xxhash.Sum64(raw)
}

// SetLease sets what this process states about its share of the limits on workspaces.
func (m *Members) SetLease(number int64, lease *wire.Lease) {
	hash := leaseHash(lease)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases[hash] = lease
	m.ownLease = memberLease{number: number, hash: hash}
}

// LeaseReports returns the latest leases of the other processes.
func (m *Members) LeaseReports() []LeaseReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	reports := make([]LeaseReport, 0, len(m.others))
	for _, other := range m.others {
		if other.lease.number > 0 {
			reports = append(reports, LeaseReport{
				Process: ProcessID(other.info.GetIncarnation()), Number: other.lease.number,
				Hash: other.lease.hash, Lease: m.leases[other.lease.hash], StatedAt: other.lease.statedAt,
			})
		}
	}
	return reports
}

// KnownLeases returns the hashes of the leases whose content is known here.
func (m *Members) KnownLeases() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	hashes := make([]uint64, 0, len(m.leases))
	for hash := range m.leases {
		hashes = append(hashes, hash)
	}
	return hashes
}

// heartbeat is what a gossip answer reports of one instance.
type heartbeat struct {
	state uint64
	age   clock.Millis
	lease memberLease
	// lag is by how much the lease was stated earlier than the instance was heard from.
	lag clock.Millis
}

// heartbeats returns what is known of all instances, in ascending order of the hashes of their
// entries. The caller must hold the lock.
func (m *Members) heartbeats(now clock.Millis) []heartbeat {
	list := make([]heartbeat, 0, len(m.others)+1)
	list = append(list, heartbeat{state: m.selfHash, lease: m.ownLease})
	for _, other := range m.others {
		if age := now - other.heardAt; age < majorityWindow {
			list = append(list, heartbeat{state: other.hash, age: max(age, 0), lease: other.lease, lag: max(other.heardAt-other.lease.statedAt, 0)})
		}
	}
	slices.SortFunc(list, func(a, b heartbeat) int { return cmp.Compare(a.state, b.state) })
	return list
}

// States returns the hashes of the entries of all instances, in ascending order.
func (m *Members) States(now clock.Millis) []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.heartbeats(now)
	states := make([]uint64, len(list))
	for i, h := range list {
		states[i] = h.state
	}
	return states
}

// digestStates returns a hash of the hashes of entries.
func digestStates(states []uint64) uint64 {
	raw := make([]byte, 0, 8*len(states))
	for _, state := range states {
		raw = binary.LittleEndian.AppendUint64(raw, state)
	}
	return xxhash.Sum64(raw)
}

// AddHeartbeats adds to the answer to a peer the hashes of the entries of all instances, unless
// the peer knows the same, how long ago each was last heard from, and the leases that they have
// stated. The content of leases that the peer knows is left out.
func (m *Members) AddHeartbeats(answer *wire.GossipAnswer, request *wire.Gossip, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	indexes := make(map[uint64]uint32)
	for _, h := range m.heartbeats(now) {
		index := uint32(0)
		if h.lease.number > 0 {
			index = indexes[h.lease.hash]
			if index == 0 {
				answer.LeaseHashes = append(answer.LeaseHashes, h.lease.hash)
				index = uint32(len(answer.GetLeaseHashes()))
				indexes[h.lease.hash] = index
				if !slices.Contains(request.GetKnownLeases(), h.lease.hash) {
					answer.Leases = append(answer.Leases, m.leases[h.lease.hash])
				}
			}
		}
		answer.States = append(answer.States, h.state)
		answer.Ages = append(answer.Ages, uint32(h.age))
		answer.LeaseIndexes = append(answer.LeaseIndexes, index)
		answer.LeaseNumbers = append(answer.LeaseNumbers, h.lease.number)
		lag := uint32(0)
		if index > 0 {
			lag = uint32((h.lag + leaseLagUnit - 1) / leaseLagUnit)
		}
		answer.LeaseLags = append(answer.LeaseLags, lag)
	}
	if request.GetStatesDigest() == digestStates(answer.GetStates()) {
		answer.States = nil
	}
}

// RecordHeartbeats records from a peer's answer how long ago it heard from instances, each
// identified by the hash of its entry, and their leases. Known are the hashes that the request
// stood for. The ages count from when the peer was asked. It returns the hashes of unknown
// entries, and the peer addresses of the instances that have restarted.
func (m *Members) RecordHeartbeats(answer *wire.GossipAnswer, known []uint64, askedAt clock.Millis) (unknown []uint64, restarted []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLeases(answer.GetLeases())
	states := answer.GetStates()
	if len(states) == 0 && len(known) == len(answer.GetAges()) {
		states = known
	}
	for i, hash := range states[:min(len(states), len(answer.GetAges()))] {
		info, ok := m.entries[hash]
		if !ok {
			unknown = append(unknown, hash)
			continue
		}
		at := askedAt - clock.Millis(answer.GetAges()[i])
		if m.record(hash, info, at) {
			restarted = append(restarted, info.GetPeerAddress())
		}
		if lease, ok := leaseAt(answer, i, at); ok {
			m.recordLease(info, lease)
		}
	}
	return unknown, restarted
}

// leaseAt returns the lease of an instance in a peer's answer, given when it was heard from.
func leaseAt(answer *wire.GossipAnswer, i int, heardAt clock.Millis) (memberLease, bool) {
	if i >= min(len(answer.GetLeaseIndexes()), len(answer.GetLeaseNumbers()), len(answer.GetLeaseLags())) {
		return memberLease{}, false
	}
	index := int(answer.GetLeaseIndexes()[i])
	if index == 0 || index > len(answer.GetLeaseHashes()) || answer.GetLeaseNumbers()[i] <= 0 {
		return memberLease{}, false
	}
	lag := clock.Millis(answer.GetLeaseLags()[i]) * leaseLagUnit
	return memberLease{number: answer.GetLeaseNumbers()[i], hash: answer.GetLeaseHashes()[index-1], statedAt: heardAt - lag}, true
}

// recordLeases adds leases that a peer has reported. The caller must hold the lock.
func (m *Members) recordLeases(leases []*wire.Lease) {
	for _, lease := range leases {
		m.leases[leaseHash(lease)] = lease
	}
	if len(m.leases) <= maxKnownLeases {
		return
	}
	used := map[uint64]*wire.Lease{m.ownLease.hash: m.leases[m.ownLease.hash]}
	for _, other := range m.others {
		if lease, ok := m.leases[other.lease.hash]; ok {
			used[other.lease.hash] = lease
		}
	}
	m.leases = used
}

// recordLease records a lease of the process with an entry, unless a later one is known. A
// lease whose content is not known is left until it is reported again. The caller must hold
// the lock.
func (m *Members) recordLease(info *wire.FleetInstance, lease memberLease) {
	other, ok := m.others[info.GetInstance()]
	if !ok || other.info.GetIncarnation() != info.GetIncarnation() || m.leases[lease.hash] == nil {
		return
	}
	if lease.number > other.lease.number || (lease.number == other.lease.number && lease.statedAt > other.lease.statedAt) {
		lease.statedAt = max(lease.statedAt, other.lease.statedAt)
		other.lease = lease
	}
}
