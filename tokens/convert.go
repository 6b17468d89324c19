package tokens

import (
	"cmp"
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/quota"
	"github.com/bulrushferry/bulrushferry/wire"
)

// maxOwners limits the number of bucket owners, so that one exchange covers many workspaces.
const maxOwners = 6

// PickOwners returns the owners of the token buckets among some instances, in an order that all
// instances agree on.
func PickOwners(instances []*wire.FleetInstance) []Owner {
	sorted := slices.SortedFunc(slices.Values(instances), fleet.CompareRank)
	var owners []Owner
	for _, info := range sorted[:min(len(sorted), maxOwners)] {
		owners = append(owners, Owner{
			Owner:    quota.Owner{Process: fleet.ProcessID(info.GetIncarnation()), Key: quota.Key(info.GetInstance())},
			Instance: info.GetInstance(), Address: info.GetPeerAddress(), StartedAt: clock.Millis(info.GetStartedMs()),
		})
	}
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.Key, b.Key) })
	return owners
}

// quotaOwners returns the owners without their addresses.
func quotaOwners(owners []Owner) quota.Owners {
	if len(owners) == 0 {
		return nil
	}
	out := make(quota.Owners, len(owners))
	for i, owner := range owners {
		out[i] = owner.Owner
	}
	return out
}

// names reports whether a lease names a process.
func names(lease *quota.Lease, process uint64) bool {
	for _, owners := range []quota.Owners{lease.Owners, lease.Former} {
		for _, owner := range owners {
			if owner.Process == process {
				return true
			}
		}
	}
	return false
}

func leaseToWire(lease *quota.Lease) *wire.Lease {
	return &wire.Lease{Owners: ownersToWire(lease.Owners), Former: ownersToWire(lease.Former), Paused: lease.Paused, TermMs: int64(lease.Term)}
}

func ownersToWire(owners quota.Owners) []*wire.LeaseOwner {
	out := make([]*wire.LeaseOwner, len(owners))
	for i, owner := range owners {
		out[i] = &wire.LeaseOwner{Process: owner.Process, Key: owner.Key}
	}
	return out
}

func leaseFromWire(message *wire.Lease) *quota.Lease {
	return &quota.Lease{Owners: ownersFromWire(message.GetOwners()), Former: ownersFromWire(message.GetFormer()), Paused: message.GetPaused(), Term: clock.Millis(message.GetTermMs())}
}

func ownersFromWire(owners []*wire.LeaseOwner) quota.Owners {
	out := make(quota.Owners, len(owners))
	for i, owner := range owners {
		out[i] = quota.Owner{Process: owner.GetProcess(), Key: owner.GetKey()}
	}
	return out
}
