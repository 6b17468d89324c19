// Package settings loads and validates the settings file of an entry instance.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/bulrushferry/bulrushferry/wire"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
)

const (
	defaultPlatformTimeout   = time.Second
	defaultAuthorityTerm     = 2 * time.Second
	defaultPollInterval      = 500 * time.Millisecond
	defaultStoreReadInterval = 500 * time.Millisecond
	defaultLoanTerm          = time.Second
	defaultSuspicionTimeout  = 1500 * time.Millisecond
	defaultStopTimeout       = 20 * time.Second
	defaultFleetSlots        = 42
	defaultMemoryMB          = 512

	// maxAuthorityTerm bounds how long an instance may act without a refresh, so
	// that a withdrawn key stops working within five seconds.
	maxAuthorityTerm = 3 * time.Second
	minInterval      = 10 * time.Millisecond
	maxFleetSlots    = 10_000
	minMemoryMB      = 128
	maxMemoryMB      = 1 << 20
	minTokenLength   = 16
)

var (
	errorSpace = errorx.NewNamespace("settings")

	// ErrUnreadable means that the file could not be read or parsed.
	ErrUnreadable = errorSpace.NewType("unreadable")
	// ErrInvalid means that fields of the file are missing or invalid.
	ErrInvalid = errorSpace.NewType("faulty")

	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	logLevels   = []string{"trace", "debug", "info", "warn", "error"}
)

// validator collects the problems found in a settings file.
type validator struct {
	problems []string
}

// Load reads a settings file, fills in the defaults and validates every field. The
// returned error lists all problems.
func Load(path string) (*wire.EntrySettings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "reading settings")
	}
	s := &wire.EntrySettings{}
	if err := protojson.Unmarshal(raw, s); err != nil {
		return nil, ErrUnreadable.Wrap(err, "reading settings %s", path)
	}
	setDefaults(s)
	v := &validator{}
	v.validate(s)
	if len(v.problems) > 0 {
		return nil, ErrInvalid.New("settings %s:\n  %s", path, strings.Join(v.problems, "\n  "))
	}
	return s, nil
}

// setDefaults sets the fields that are left out of the file to their defaults.
func setDefaults(s *wire.EntrySettings) {
	if s.Platform == nil {
		s.Platform = &wire.PlatformSettings{}
	}
	if s.Timing == nil {
		s.Timing = &wire.TimingSettings{}
	}
	if s.GetFleetSlots() == 0 {
		s.FleetSlots = defaultFleetSlots
	}
	if s.GetMemoryMb() == 0 {
		s.MemoryMb = defaultMemoryMB
	}
	if s.GetLogLevel() == "" {
		s.LogLevel = "info"
	}
	t := s.GetTiming()
	setDefaultDuration(&s.Platform.Timeout, defaultPlatformTimeout)
	setDefaultDuration(&t.AuthorityTerm, defaultAuthorityTerm)
	setDefaultDuration(&t.PollInterval, defaultPollInterval)
	setDefaultDuration(&t.StoreReadInterval, defaultStoreReadInterval)
	setDefaultDuration(&t.LoanTerm, defaultLoanTerm)
	setDefaultDuration(&t.SuspicionTimeout, defaultSuspicionTimeout)
	setDefaultDuration(&t.StopTimeout, defaultStopTimeout)
}

func setDefaultDuration(field **durationpb.Duration, value time.Duration) {
	if *field == nil {
		*field = durationpb.New(value)
	}
}

func (v *validator) validate(s *wire.EntrySettings) {
	v.checkName("instance", s.GetInstance())
	v.checkName("region", s.GetRegion())
	v.checkName("failure_domain", s.GetFailureDomain())
	v.checkAddresses(s)
	v.checkTLS("peer_tls", s.GetPeerTls(), true)
	if s.GetCallerTls() != nil {
		v.checkTLS("caller_tls", s.GetCallerTls(), false)
	}
	if len(s.GetOperatorToken()) < minTokenLength {
		v.addProblem("operator_token: needs at least %d characters", minTokenLength)
	}
	if s.GetFleetSlots() < 1 || s.GetFleetSlots() > maxFleetSlots {
		v.addProblem("fleet_slots: %d is not from 1 to %d", s.GetFleetSlots(), maxFleetSlots)
	}
	if s.GetMemoryMb() < minMemoryMB || s.GetMemoryMb() > maxMemoryMB {
		v.addProblem("memory_mb: %d is not from %d to %d", s.GetMemoryMb(), minMemoryMB, maxMemoryMB)
	}
	v.checkLogLevel(s.GetLogLevel())
	v.checkTiming(s)
}

func (v *validator) addProblem(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

func (v *validator) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		v.addProblem("%s: %q is not a name of lowercase letters, digits and hyphens", field, value)
	}
}

// checkAddresses checks that every address is an IP address with a port and that
// the caller and operator addresses, which both use TCP, differ. The peer address
// uses UDP and cannot conflict with them.
func (v *validator) checkAddresses(s *wire.EntrySettings) {
	v.checkAddress("caller_address", s.GetCallerAddress())
	v.checkAddress("peer_address", s.GetPeerAddress())
	v.checkAddress("operator_address", s.GetOperatorAddress())
	v.checkAddress("platform.address", s.GetPlatform().GetAddress())
	for i, peer := range s.GetSeedPeers() {
		v.checkAddress(fmt.Sprintf("seed_peers[%d]", i), peer)
	}
	if s.GetCallerAddress() != "" && s.GetCallerAddress() == s.GetOperatorAddress() {
		v.addProblem("operator_address: %s is also the caller_address", s.GetOperatorAddress())
	}
}

func (v *validator) checkAddress(field, value string) {
	if value == "" {
		v.addProblem("%s: is missing", field)
		return
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		v.addProblem("%s: %q is not an IP number with a port", field, value)
	}
}

func (v *validator) checkTLS(field string, s *wire.TlsSettings, requireCA bool) {
	if s.GetCertificateFile() == "" {
		v.addProblem("%s.certificate_file: is missing", field)
	}
	if s.GetKeyFile() == "" {
		v.addProblem("%s.key_file: is missing", field)
	}
	if requireCA && s.GetAuthorityFile() == "" {
		v.addProblem("%s.authority_file: is missing", field)
	}
}

func (v *validator) checkLogLevel(value string) {
	for _, level := range logLevels {
		if level == value {
			return
		}
	}
	v.addProblem("log_level: %q is not one of %s", value, strings.Join(logLevels, ", "))
}

func (v *validator) checkTiming(s *wire.EntrySettings) {
	t := s.GetTiming()
	durations := map[string]*durationpb.Duration{
		"platform.timeout":           s.GetPlatform().GetTimeout(),
		"timing.authority_term":      t.GetAuthorityTerm(),
		"timing.poll_interval":       t.GetPollInterval(),
		"timing.store_read_interval": t.GetStoreReadInterval(),
		"timing.loan_term":           t.GetLoanTerm(),
		"timing.suspicion_timeout":   t.GetSuspicionTimeout(),
		"timing.stop_timeout":        t.GetStopTimeout(),
	}
	for field, duration := range durations {
		if duration.AsDuration() < minInterval {
			v.addProblem("%s: %s is shorter than %s", field, duration.AsDuration(), minInterval)
		}
	}
	if t.GetAuthorityTerm().AsDuration() > maxAuthorityTerm {
		v.addProblem("timing.authority_term: %s is longer than %s", t.GetAuthorityTerm().AsDuration(), maxAuthorityTerm)
	}
	if 2*t.GetPollInterval().AsDuration() > t.GetAuthorityTerm().AsDuration() {
		v.addProblem("timing.poll_interval: must be at most half of timing.authority_term")
	}
}
