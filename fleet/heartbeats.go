package fleet

import (
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

// AddHeartbeats adds to an answer to a peer the hashes of the entries of all instances, how
// long ago each was last heard from, and the leases that they have stated. The content of
// leases that the peer knows is left out.
func (m *Members) AddHeartbeats(answer *wire.GossipAnswer, known []uint64, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	indexes := make(map[uint64]uint32)
	peerKnows := make(map[uint64]struct{}, len(known))
	for _, hash := range known {
		peerKnows[hash] = struct{}{}
	}
	add := func(hash uint64, age clock.Millis, lease memberLease, lag clock.Millis) {
		index := uint32(0)
		if lease.number > 0 {
			index = indexes[lease.hash]
			if index == 0 {
				answer.LeaseHashes = append(answer.LeaseHashes, lease.hash)
				index = uint32(len(answer.GetLeaseHashes()))
				indexes[lease.hash] = index
				if _, ok := peerKnows[lease.hash]; !ok {
					answer.Leases = append(answer.Leases, m.leases[lease.hash])
				}
			}
		}
		answer.States = append(answer.States, hash)
		answer.Ages = append(answer.Ages, uint32(max(age, 0)))
		answer.LeaseIndexes = append(answer.LeaseIndexes, index)
		answer.LeaseNumbers = append(answer.LeaseNumbers, lease.number)
		answer.LeaseLags = append(answer.LeaseLags, uint32((max(lag, 0)+leaseLagUnit-1)/leaseLagUnit))
	}
	if m.ownLease.number > 0 {
		add(entryHash(m.self), 0, m.ownLease, 0)
	}
	for _, other := range m.others {
		if age := now - other.heardAt; age < majorityWindow {
			lag := clock.Millis(0)
			if other.lease.number > 0 {
				lag = other.heardAt - other.lease.statedAt
			}
			add(other.hash, age, other.lease, lag)
		}
	}
}

// RecordHeartbeats records from a peer's answer how long ago it heard from instances, each
// identified by the hash of its entry, and their leases. The ages count from when the peer was
// asked. It returns the hashes of unknown entries, and the peer addresses of the instances that
// have restarted.
func (m *Members) RecordHeartbeats(answer *wire.GossipAnswer, askedAt clock.Millis) (unknown []uint64, restarted []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLeases(answer.GetLeases())
	for i, hash := range answer.GetStates()[:min(len(answer.GetStates()), len(answer.GetAges()))] {
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
