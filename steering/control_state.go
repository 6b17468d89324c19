package steering

import (
	"sync"
	"sync/atomic"

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
	// Decoder decodes rows of the platform's tables.
	Decoder interface {
		// Config returns the rules. The evacuated domains are valid even if the
		// configuration cannot be decoded and an error is returned.
		Config(rows []*wire.TableRow) (Rules, error)
		// Server returns the backend server that a row describes, or what is wrong
		// with the row if it describes none that can be used.
		Server(row *wire.TableRow) (server placement.Server, problem string)
	}

	// Rules are the decoded rows of the rules table.
	Rules struct {
		// Config is the configuration, or nil if there is none.
		Config *routing.Config
		// Evacuated are the failure domains that get no requests.
		Evacuated values.Set[string]
		Invalid   []InvalidRow
	}

	// ControlStateConfig configures a ControlState.
	ControlStateConfig struct {
		// BootClock measures the age of the replicas; it also runs while the
		// machine is suspended. Clock is used for everything else.
		BootClock clock.Clock
		Clock     clock.Clock
		Log       hclog.Logger
		Metrics   metrics.Registry
		Decoder   Decoder
		Balancer  *placement.Balancer
		Members   *fleet.Members
		// AuthorityTerm is how long an instance that is cut off from the platform
		// and from most of its peers goes on serving with the state it has.
		AuthorityTerm func() clock.Millis
	}

	// ControlState is this instance's copy of what the platform stores: the
	// configuration, the evacuations and the list of backend servers. It decides
	// whether the copy is recent enough to serve with. It is safe for concurrent
	// use once SetReplicas and OnRulesChange have been called.
	ControlState struct {
		config ControlStateConfig
		// Rules holds the configuration and the evacuations, Servers the
		// backend servers.
		Rules   *fleet.Replica
		Servers *fleet.Replica

		activeConfig atomic.Pointer[routing.Config]
		// authorityLost is the inverse of the last result of HasAuthority, whose changes
		// are logged.
		authorityLost atomic.Bool
		joined        atomic.Bool
		onRulesChange func()
		// onServersChange is called after each change of the servers in use.
		onServersChange atomic.Pointer[func()]

		// mu guards the fields below and serializes updates.
		mu sync.Mutex
		// invalidRules and invalidServers are the rows of the two tables that cannot
		// be used.
		invalidRules   invalidRows
		invalidServers invalidRows
		outage         outageDetector
		// inUse holds the backend servers in use by their IDs.
		inUse map[string]placement.Server
		// retainedUntil holds, for each server that is in use although it is no
		// longer listed, when it is dropped.
		retainedUntil map[string]clock.Millis
	}

	// outageDetector detects the end of an outage of the platform.
	outageDetector struct {
		// lastConfirmed is when the platform last confirmed the servers table.
		lastConfirmed clock.Millis
		// graceUntil is the end of the grace period after the last outage.
		graceUntil clock.Millis
	}
)

const (
	// minOutage is the gap between two confirmations by the platform above which
	// servers' entries may have expired only because they could not be renewed.
	minOutage = 3 * clock.Second
	// recoveryGrace is how long after an outage servers whose entries have expired
	// stay in use, so that they can register again.
	recoveryGrace = 2200 * clock.Millis(1)
	// maxLoggedServers limits the log lines for one update of the list of servers.
	maxLoggedServers = 100
)

// NewControlState returns a state without configuration and backend servers.
func NewControlState(config ControlStateConfig) *ControlState {
	s := &ControlState{
		config:         config,
		inUse:          make(map[string]placement.Server),
		invalidRules:   make(invalidRows),
		invalidServers: make(invalidRows),
		retainedUntil:  make(map[string]clock.Millis),
		onRulesChange:  func() {},
	}
	return s
}

// SetReplicas sets the replicas to read from. It must be called before any other method.
func (s *ControlState) SetReplicas(rules, servers *fleet.Replica) {
	s.Rules, s.Servers = rules, servers
}

// Joined reports whether this instance has joined the fleet.
func (s *ControlState) Joined() bool {
	return s.joined.Load()
}

// Config returns the active configuration, or nil if there is none yet.
func (s *ControlState) Config() *routing.Config {
	return s.activeConfig.Load()
}

// Limits returns the configured limits on requests and connections of callers.
func (s *ControlState) Limits() routing.Limits {
	if c := s.Config(); c != nil {
		return c.Limits
	}
	return routing.Limits{}
}

// HasAuthority reports whether this instance may serve requests: it has joined the fleet
// and has a configuration, and its replicas are recent enough. They are if the platform
// confirmed both within the authority term, or if this instance is in contact with at
// least half of the fleet and no peer's copy is newer by the term or more.
func (s *ControlState) HasAuthority() bool {
	if s.Config() == nil || !s.joined.Load() {
		return false
	}
	now := s.config.BootClock.Now()
	rules, _ := s.Rules.AsOf()
	servers, known := s.Servers.AsOf()
	term := s.config.AuthorityTerm()
	confirmed := min(rules, servers)
	authority := known && (now-confirmed < term || s.agreesWithFleet(now, confirmed, term))
	if s.authorityLost.CompareAndSwap(authority, !authority) {
		s.config.Log.Warn("authority changed", "acts", authority, "rules_age_ms", int64(now-rules), "servers_age_ms", int64(now-servers))
	}
	return authority
}

// agreesWithFleet reports whether this instance is in contact with at least half of the
// fleet and no peer's copy is newer by the term or more.
func (s *ControlState) agreesWithFleet(now, confirmed, term clock.Millis) bool {
	return max(s.Rules.Lag(), s.Servers.Lag()) < term && s.config.Members.InMajority(now, confirmed)
}

// MarkJoined records that this instance has joined the fleet. It reports whether it had
// not joined before.
func (s *ControlState) MarkJoined() bool {
	return s.joined.CompareAndSwap(false, true)
}

// ReloadRules decodes the rows of the rules replica, applies them and calls the function
// set with OnRulesChange. The keys do not matter, for a configuration is one row.
func (s *ControlState) ReloadRules([]string) {
	s.loadRules()
	s.onRulesChange()
}

// loadRules applies the evacuations, and the configuration if it is newer than the active
// one. A configuration that cannot be decoded leaves the active one in force.
func (s *ControlState) loadRules() {
	s.mu.Lock()
	defer s.mu.Unlock()
	rules, err := s.config.Decoder.Config(s.Rules.Rows())
	s.invalidRules = s.replaceInvalid(s.invalidRules, rules.Invalid)
	s.config.Balancer.SetEvacuated(s.config.Clock.Now(), rules.Evacuated)
	defer s.notifyServersChange()
	if err != nil {
		s.config.Log.Error("decoding the configuration failed, keeping the active one", "error", err.Error())
		return
	}
	config := rules.Config
	if config == nil {
		return
	}
	metrics.GetOrRegisterGauge("config.stored_version", s.config.Metrics).Update(config.Version)
	active := s.activeConfig.Load()
	if active != nil && config.Version <= active.Version {
		return
	}
	s.config.Balancer.SetServices(config.Services)
	s.activeConfig.Store(config)
	s.config.Log.Info("configuration activated", "version", config.Version, "services", len(config.Services),
		"workspaces", len(config.Workspaces), "evacuated", rules.Evacuated.Sorted())
	metrics.GetOrRegisterGauge("config.version", s.config.Metrics).Update(config.Version)
	s.logProblems(config)
}

// DetectOutage starts the grace period if the platform has just recovered from an outage.
func (s *ControlState) DetectOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectOutage()
}

// detectOutage is DetectOutage for callers that hold the lock.
func (s *ControlState) detectOutage() {
	asOf, known := s.Servers.AsOf()
	if !known {
		return
	}
	gap := asOf - s.outage.lastConfirmed
	if s.outage.lastConfirmed > 0 && gap > minOutage {
		s.outage.graceUntil = s.config.BootClock.Now() + recoveryGrace
		s.config.Log.Info("platform recovered from an outage", "away_ms", int64(gap))
	}
	s.outage.lastConfirmed = asOf
}

// OnServersChange sets the function that is called when servers in use have changed.
func (s *ControlState) OnServersChange(call func()) {
	s.onServersChange.Store(&call)
}

// OnRulesChange sets the function that is called after each change of the rules replica.
// It must be called before the replica receives changes.
func (s *ControlState) OnRulesChange(call func()) {
	s.onRulesChange = call
}
