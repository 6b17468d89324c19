package tokens

import (
	"slices"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/wire"
)

// Share implements Fleet.
func (i *modelInstance) Share() float64 {
	return 1 / float64(len(i.fleet.instances))
}

// MayLease implements Fleet.
func (i *modelInstance) MayLease() bool {
	return i.Now() >= i.partFrom && i.gaveUpAt == 0
}

// Owners implements Fleet.
func (i *modelInstance) Owners() []Owner {
	var list []*wire.FleetInstance
	for name := range i.running {
		list = append(list, i.processes[name])
	}
	return PickOwners(list)
}

// HasEnded implements Fleet.
func (i *modelInstance) HasEnded(owner Owner) bool {
	return i.members.HasEnded(owner.Instance, owner.StartedAt)
}

// IsSilent implements Fleet.
func (i *modelInstance) IsSilent(owner Owner) bool {
	return i.Now()-i.startedAt > fleet.RestartTerm && i.members.IsSilent(owner.Instance, i.Now())
}

// LeaseTerm implements Fleet.
func (i *modelInstance) LeaseTerm() clock.Millis { return modelTerm }

// LeaseReports implements Fleet.
func (i *modelInstance) LeaseReports() []fleet.LeaseReport { return i.members.LeaseReports() }

// SetLease implements Fleet.
func (i *modelInstance) SetLease(number int64, lease *wire.Lease) { i.members.SetLease(number, lease) }

// see takes an instance for running, with its present process.
func (i *modelInstance) see(other *modelInstance) {
	i.running[other.name] = true
	i.processes[other.name] = other.members.Self()
}

// gossip asks a few others for what they have heard, as fleet.Gossip does.
func (i *modelInstance) gossip() {
	for range modelFanout {
		other := i.fleet.instances[i.fleet.random.IntN(len(i.fleet.instances))]
		if other != i {
			i.askForHeartbeats(other)
		}
	}
}

func (i *modelInstance) askForHeartbeats(other *modelInstance) {
	f, members, askedAt := i.fleet, i.members, i.Now()
	request := &wire.Gossip{Sender: members.Self(), KnownLeases: members.KnownLeases()}
	f.send(i, other, func() {
		other.members.Record(request.GetSender(), other.Now())
		answer := &wire.GossipAnswer{Sender: other.members.Self()}
		other.members.AddHeartbeats(answer, request, other.Now())
		unknown := slices.DeleteFunc(slices.Clone(answer.GetStates()), func(hash uint64) bool { return i.knownEntries[hash] })
		answer.Members = other.members.Entries(unknown, other.Now())
		f.send(other, i, func() {
			if i.members != members {
				return
			}
			members.Record(answer.GetSender(), askedAt)
			for _, info := range answer.GetMembers() {
				members.RecordReport(info, askedAt)
			}
			missing, _ := members.RecordHeartbeats(answer, nil, askedAt)
			for _, hash := range answer.GetStates() {
				i.knownEntries[hash] = !slices.Contains(missing, hash)
			}
		})
	})
}

// send delivers a message, unless it is lost, once the receiver is not paused.
func (f *modelFleet) send(from, to *modelInstance, receive func()) {
	took, ok := f.delay()
	if !ok || from.cutOff || to.cutOff {
		return
	}
	f.at(f.now+took, func() { f.deliver(to, receive) })
}

// deliver hands a message to the process that runs, once it is not paused.
func (f *modelFleet) deliver(to *modelInstance, receive func()) {
	if !to.up {
		return
	}
	if f.now >= to.pausedUntil {
		receive()
		return
	}
	limiter := to.limiter
	f.at(to.pausedUntil, func() {
		if to.limiter == limiter {
			f.deliver(to, receive)
		}
	})
}
