package quota

import (
	"encoding/binary"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

type (
	// Owner is a process that owns token buckets.
	Owner struct {
		Process uint64
		// Key is the hash of the name of the process's instance, by which workspaces are
		// assigned. The next process of the instance gets the same workspaces.
		Key uint64
	}

	// Owners are the processes among which token buckets are divided. They are immutable.
	Owners []Owner

	// Lease says to which owners a process leases its share of all limits. Leases are
	// immutable.
	Lease struct {
		Owners Owners
		// Former are the owners before, as long as one of them may still use the share. The
		// share of a workspace is leased only if the same process is chosen among both.
		Former Owners
		// Paused are the processes among the owners whose lease is not renewed: the lessor has
		// not heard of them lately, and may have to pass their buckets on.
		Paused []uint64
		// Term is how long the lease holds after it was last stated.
		Term clock.Millis
	}
)

const (
	// maxOwners bounds the owners in a peer's lease.
	maxOwners = 64
	// maxTerm bounds the term of a peer's lease. A lease that holds for longer would keep a
	// share from others for long after its lessor has ended.
	maxTerm = 10 * clock.Second
)

var (
	errorSpace = errorx.NewNamespace("quota")

	// ErrLease is the type of errors about leases that cannot be used.
	ErrLease = errorSpace.NewType("lease")
)

// Key returns the hash of the name of an instance or a workspace, for For.
func Key(name string) uint64 {
	return xxhash.Sum64String(name)
}

// For returns the owner of the bucket of a workspace, given its key, by rendezvous hashing.
// The owner's process is zero if there are no owners.
func (o Owners) For(workspace uint64) Owner {
	var best Owner
	highest := uint64(0)
	var text [16]byte
	binary.LittleEndian.PutUint64(text[8:], workspace)
	for _, owner := range o {
		binary.LittleEndian.PutUint64(text[:], owner.Key)
		if score := xxhash.Sum64(text[:]); score >= highest {
			best, highest = owner, score
		}
	}
	return best
}

// check reports whether the owners are different processes of different instances.
func (o Owners) check() error {
	if len(o) > maxOwners {
		return ErrLease.New("%d owners, at most %d are allowed", len(o), maxOwners)
	}
	for i, owner := range o {
		if owner.Process == 0 {
			return ErrLease.New("an owner has no process")
		}
		for _, other := range o[:i] {
			if other.Process == owner.Process || other.Key == owner.Key {
				return ErrLease.New("an owner is listed twice")
			}
		}
	}
	return nil
}

// Check returns an error if no process can have stated the lease.
func (l *Lease) Check() error {
	if l.Term <= 0 || l.Term > maxTerm {
		return ErrLease.New("the term of %d ms is not between 1 and %d ms", l.Term, maxTerm)
	}
	if len(l.Paused) > len(l.Owners) {
		return ErrLease.New("%d owners are paused, more than the %d owners", len(l.Paused), len(l.Owners))
	}
	if err := l.Owners.check(); err != nil {
		return err
	}
	return l.Former.check()
}

// Borrower returns the process that may use the share of a workspace's limit, or zero.
func (l *Lease) Borrower(workspace uint64) uint64 {
	borrower := l.Owners.For(workspace).Process
	if len(l.Former) > 0 && l.Former.For(workspace).Process != borrower {
		return 0
	}
	return borrower
}

// renews reports whether stating the lease renews it for a process.
func (l *Lease) renews(process uint64) bool {
	return !slices.Contains(l.Paused, process)
}

// Hash returns a hash of the lease.
func (l *Lease) Hash() uint64 {
	raw := binary.LittleEndian.AppendUint64(nil, uint64(l.Term))
	for _, owners := range []Owners{l.Owners, l.Former} {
		raw = binary.LittleEndian.AppendUint64(raw, uint64(len(owners)))
		for _, owner := range owners {
			raw = binary.LittleEndian.AppendUint64(raw, owner.Process)
			raw = binary.LittleEndian.AppendUint64(raw, owner.Key)
		}
	}
	for _, process := range l.Paused {
		raw = binary.LittleEndian.AppendUint64(raw, process)
	}
	return xxhash.Sum64(raw)
}
