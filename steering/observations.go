package steering

import (
	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// observations implements fleet.Observations with what this instance has learned from
// backend servers.
type observations struct {
	clock    clock.Clock
	crashes  *placement.CrashTracker
	balancer *placement.Balancer
	log      hclog.Logger
	registry metrics.Registry
}

// Get implements fleet.Observations.
func (o *observations) Get() *wire.Observations {
	now := o.clock.Now()
	out := &wire.Observations{}
	for _, q := range o.crashes.Quarantined(now) {
		out.Crashing = append(out.Crashing, &wire.CrashingRequest{Fingerprint: uint64(q.Fingerprint), AgeMs: int64(q.Age)})
	}
	for _, d := range o.balancer.Departures(now) {
		out.Departures = append(out.Departures, &wire.ServerDeparture{Server: d.ID, StartUnixMs: d.StartUnixMs, AgeMs: int64(d.Age)})
	}
	return out
}

// Record implements fleet.Observations.
func (o *observations) Record(from string, received *wire.Observations, transit clock.Millis) {
	now := o.clock.Now()
	for _, r := range received.GetCrashing() {
		o.crashes.Quarantine(now, placement.QuarantinedRequest{Fingerprint: placement.Fingerprint(r.GetFingerprint()), Age: age(r.GetAgeMs(), transit)})
	}
	for _, r := range received.GetDepartures() {
		incarnation := placement.Incarnation{ID: r.GetServer(), StartUnixMs: r.GetStartUnixMs()}
		if o.balancer.MarkLeaving(now, placement.Departure{Incarnation: incarnation, Age: age(r.GetAgeMs(), transit)}) {
			metrics.GetOrRegisterCounter("servers.leaving", o.registry).Inc(1)
			o.log.Info("backend server leaves, says a peer", "server", r.GetServer(), "peer", from, "age_ms", r.GetAgeMs())
		}
	}
}

// age adds the time that a message may have taken to the age that it states.
func age(stated int64, transit clock.Millis) clock.Millis {
	return clock.Millis(max(stated, 0)) + transit
}
