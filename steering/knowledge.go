// Package steering runs an entry instance whose configuration, backend servers
// and evacuations are kept by the platform: it decides what becomes of each
// request.
package steering

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushferry/bulrushferry/clock"
	"github.com/bulrushferry/bulrushferry/fleet"
	"github.com/bulrushferry/bulrushferry/placement"
	"github.com/bulrushferry/bulrushferry/routing"
	"github.com/bulrushferry/bulrushferry/values"
	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type (
	// Decoder turns the platform's rows into the product's own types.
	Decoder interface {
		// Config returns the newest configuration and the evacuated failure
		// domains. A configuration that cannot be read is an error.
		Config(rows []*wire.TableRow) (*routing.Config, values.Set[string], error)
		// Servers returns the backend servers, and the keys of the rows that
		// name none.
		Servers(rows []*wire.TableRow) ([]placement.Server, []string)
	}

	// ControlStateConfig configures a Knowledge.
	ControlStateConfig struct {
		// BootClock measures the age of what is known, Clock all else.
		BootClock clock.Clock
		Clock     clock.Clock
		Log       hclog.Logger
		Metrics   metrics.Registry
		Decoder   Decoder
		Table     *placement.Balancer
		Members   *fleet.Members
		// AuthorityTerm is how long an instance that hears neither from the platform nor
		// from most of its peers acts on what it knows.
		AuthorityTerm func() clock.Millis
	}

	// ControlState is what this instance acts on.
	ControlState struct {
		config ControlStateConfig
		// Rules holds the configuration and the evacuations, Servers the
		// backend servers.
		Rules   *fleet.Replica
		Servers *fleet.Replica

		activeConfig  atomic.Pointer[routing.Config]
		authorityLost atomic.Bool
		joined        atomic.Bool
		onRulesChange func()

		// mu guards the fields below and orders updates.
		mu            sync.Mutex
		invalidRows   values.Set[string]
		outage        outageDetector
		inUse         map[string]placement.Server
		retainedUntil map[string]clock.Millis
	}

	// outageDetector notices when the platform comes back after it was away.
	outageDetector struct {
		lastConfirmed clock.Millis
		graceUntil    clock.Millis
	}
)

const (
	// minOutage is the silence of the platform after which entries of
	// servers may have lapsed without cause.
	minOutage = 3 * clock.Second
	// recoveryGrace is how long after its return lapsed entries may come back.
	recoveryGrace = 2200 * clock.Millis(1)
)

// NewControlState returns an empty knowledge.
func NewControlState(config ControlStateConfig) *ControlState {
	k := &ControlState{
		config:        config,
		invalidRows:   values.NewSet[string](),
		inUse:         make(map[string]placement.Server),
		retainedUntil: make(map[string]clock.Millis),
		onRulesChange: func() {},
	}
	return k
}

// SetReplicas connects the replicas whose changes are taken in.
func (k *ControlState) SetReplicas(rules, servers *fleet.Replica) {
	k.Rules, k.Servers = rules, servers
}

// Joined reports whether the other instances have been looked for.
func (k *ControlState) Joined() bool {
	return k.joined.Load()
}

// Config returns the configuration in force, or nothing.
func (k *ControlState) Config() *routing.Config {
	return k.activeConfig.Load()
}

// RateLimitedWorkspaces names the workspaces that have a rate.
func (k *ControlState) RateLimitedWorkspaces() []string {
	config := k.Config()
	if config == nil {
		return nil
	}
	var names []string
	for name, w := range config.Workspaces {
		if w.RatePerS > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Limits returns what callers may send.
func (k *ControlState) Limits() routing.Limits {
	if c := k.Config(); c != nil {
		return c.Limits
	}
	return routing.Limits{}
}

// HasAuthority reports whether what is known is recent enough to act on: the platform
// confirmed it within the term, or most of the fleet is in touch and no peer's
// copy is newer by more than the term.
func (k *ControlState) HasAuthority() bool {
	if k.Config() == nil || !k.joined.Load() {
		return false
	}
	now := k.config.BootClock.Now()
	rules, _ := k.Rules.AsOf()
	servers, known := k.Servers.AsOf()
	fresh := now-min(rules, servers) < k.config.AuthorityTerm()
	outage := max(k.Rules.Lag(), k.Servers.Lag()) < k.config.AuthorityTerm() && k.config.Members.InMajority(now)
	may := known && (fresh || outage)
	if k.authorityLost.CompareAndSwap(may, !may) {
		k.config.Log.Warn("authority changed", "acts", may, "rules_age_ms", int64(now-rules), "servers_age_ms", int64(now-servers))
	}
	return may
}

// MarkJoined notes that the other instances have been looked for. It reports whether
// that is new.
func (k *ControlState) MarkJoined() bool {
	return k.joined.CompareAndSwap(false, true)
}

// ReloadRules takes in the configuration's rows.
func (k *ControlState) ReloadRules() {
	k.loadRules()
	k.onRulesChange()
}

func (k *ControlState) loadRules() {
	k.mu.Lock()
	defer k.mu.Unlock()
	config, evacuated, err := k.config.Decoder.Config(k.Rules.Rows())
	k.config.Table.SetEvacuated(k.config.Clock.Now(), evacuated)
	if err != nil {
		k.config.Log.Error("the configuration cannot be read and is not taken", "error", err.Error())
		return
	}
	if config == nil {
		return
	}
	old := k.activeConfig.Load()
	if old != nil && config.Version <= old.Version {
		return
	}
	k.config.Table.SetServices(config.Services)
	k.activeConfig.Store(config)
	k.config.Log.Info("configuration in force", "version", config.Version, "services", len(config.Services),
		"workspaces", len(config.Workspaces), "evacuated", evacuated.Sorted())
	metrics.GetOrRegisterGauge("config.version", k.config.Metrics).Update(config.Version)
}

// ReloadServers takes in the servers' rows. A server whose entry went while the
// platform was away stays in use for a short while after its return.
func (k *ControlState) ReloadServers() {
	k.mu.Lock()
	defer k.mu.Unlock()
	list, unread := k.config.Decoder.Servers(k.Servers.Rows())
	k.logInvalidRows(unread)
	now := k.config.BootClock.Now()
	k.detectOutage()
	listed := make(map[string]placement.Server, len(list))
	for _, server := range list {
		listed[server.ID] = server
	}
	k.retainLapsed(now, listed)
	k.updateTable(now, list, listed)
}

// updateTable hands the listed and the held servers to placement. Current holds the listed
// ones by their ids and becomes what is known. The caller holds the lock.
func (k *ControlState) updateTable(now clock.Millis, list []placement.Server, current map[string]placement.Server) {
	for id, until := range k.retainedUntil {
		_, listed := current[id]
		if listed || now >= until {
			delete(k.retainedUntil, id)
			continue
		}
		current[id] = k.inUse[id]
		list = append(list, k.inUse[id])
	}
	k.logChanges(current)
	k.inUse = current
	k.config.Table.SetServers(k.config.Clock.Now(), list)
}

// logChanges logs which servers came, changed and left; where many did at once,
// in one line. The caller holds the lock.
func (k *ControlState) logChanges(current map[string]placement.Server) {
	var changed []placement.Server
	for id, server := range current {
		if old, ok := k.inUse[id]; !ok || old.Draining != server.Draining || old.StartUnixMs != server.StartUnixMs {
			changed = append(changed, server)
		}
	}
	var left []string
	for id := range k.inUse {
		if _, ok := current[id]; !ok {
			left = append(left, id)
		}
	}
	if len(changed)+len(left) > maxLoggedServers {
		k.config.Log.Info("many backend servers changed", "listed", len(current), "changed", len(changed), "left", len(left))
		return
	}
	for _, server := range changed {
		k.config.Log.Info("backend server", "server", server.ID, "service", server.Service, "domain", server.FailureDomain,
			"address", server.Address, "draining", server.Draining, "cold_ms", int64(server.ColdFor))
	}
	for _, id := range left {
		k.config.Log.Info("backend server left", "server", id)
	}
}

// maxLoggedServers bounds the lines that one change of the list logs.
const maxLoggedServers = 100

// retainLapsed keeps servers whose entries went during an outage. The caller
// holds the lock.
func (k *ControlState) retainLapsed(now clock.Millis, listed map[string]placement.Server) {
	if now >= k.outage.graceUntil {
		return
	}
	until := k.outage.graceUntil
	for id, server := range k.inUse {
		if _, ok := listed[id]; ok || server.Draining {
			continue
		}
		if _, held := k.retainedUntil[id]; !held {
			k.retainedUntil[id] = until
			time.AfterFunc((until - now).Duration(), k.ReloadServers)
		}
	}
}

// DetectOutage notices when the platform has come back after it was away.
func (k *ControlState) DetectOutage() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.detectOutage()
}

// detectOutage does the same. The caller holds the lock.
func (k *ControlState) detectOutage() {
	asOf, known := k.Servers.AsOf()
	if !known {
		return
	}
	away := asOf - k.outage.lastConfirmed
	if k.outage.lastConfirmed > 0 && away > minOutage {
		k.outage.graceUntil = k.config.BootClock.Now() + recoveryGrace
		k.config.Log.Info("the platform answers again", "away_ms", int64(away))
	}
	k.outage.lastConfirmed = asOf
}

// OnRulesChange sets a function that is called when the rules have changed.
func (k *ControlState) OnRulesChange(call func()) {
	k.onRulesChange = call
}

// logInvalidRows logs each unreadable row once. The caller holds the lock.
func (k *ControlState) logInvalidRows(keys []string) {
	for _, key := range keys {
		if !k.invalidRows.Has(key) {
			k.config.Log.Warn("a row names no backend server to use", "row", key)
		}
	}
	k.invalidRows = values.NewSet(keys...)
}

// InUse reports whether a server is in use.
func (k *ControlState) InUse(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.inUse[id]
	return ok
}
