// Package settings reads and checks the settings file of an entry instance.
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

	// maxAuthorityTerm keeps a withdrawn key's last use within five seconds.
	maxAuthorityTerm = 3 * time.Second
	minInterval      = 10 * time.Millisecond
	maxFleetSlots    = 10_000
	minTokenLength   = 16
)

var (
	errorSpace = errorx.NewNamespace("settings")

	// ErrUnreadable means that the file cannot be read as settings.
	ErrUnreadable = errorSpace.NewType("unreadable")
	// ErrInvalid means that fields of the file are missing or wrong.
	ErrInvalid = errorSpace.NewType("faulty")

	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	logLevels   = []string{"trace", "debug", "info", "warn", "error"}
)

// checker gathers the faults of a settings file.
type checker struct {
	faults []string
}

// Load reads a settings file, fills in defaults and checks every field. All
// faults are reported at once.
func Load(path string) (*wire.EntrySettings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "reading settings")
	}
	s := &wire.EntrySettings{}
	if err := protojson.Unmarshal(raw, s); err != nil {
		return nil, ErrUnreadable.Wrap(err, "reading settings %s", path)
	}
	fillDefaults(s)
	c := &checker{}
	c.checkAll(s)
	if len(c.faults) > 0 {
		return nil, ErrInvalid.New("settings %s:\n  %s", path, strings.Join(c.faults, "\n  "))
	}
	return s, nil
}

func fillDefaults(s *wire.EntrySettings) {
	if s.Platform == nil {
		s.Platform = &wire.PlatformSettings{}
	}
	if s.Timing == nil {
		s.Timing = &wire.TimingSettings{}
	}
	if s.GetFleetSlots() == 0 {
		s.FleetSlots = defaultFleetSlots
	}
	if s.GetLogLevel() == "" {
		s.LogLevel = "info"
	}
	t := s.GetTiming()
	fillSpan(&s.Platform.Timeout, defaultPlatformTimeout)
	fillSpan(&t.AuthorityTerm, defaultAuthorityTerm)
	fillSpan(&t.PollInterval, defaultPollInterval)
	fillSpan(&t.StoreReadInterval, defaultStoreReadInterval)
	fillSpan(&t.LoanTerm, defaultLoanTerm)
	fillSpan(&t.SuspicionTimeout, defaultSuspicionTimeout)
	fillSpan(&t.StopTimeout, defaultStopTimeout)
}

func fillSpan(span **durationpb.Duration, fallback time.Duration) {
	if *span == nil {
		*span = durationpb.New(fallback)
	}
}

func (c *checker) checkAll(s *wire.EntrySettings) {
	c.name("instance", s.GetInstance())
	c.name("region", s.GetRegion())
	c.name("failure_domain", s.GetFailureDomain())
	c.addresses(s)
	c.tls("peer_tls", s.GetPeerTls(), true)
	if s.GetCallerTls() != nil {
		c.tls("caller_tls", s.GetCallerTls(), false)
	}
	if len(s.GetOperatorToken()) < minTokenLength {
		c.add("operator_token: needs at least %d characters", minTokenLength)
	}
	if s.GetFleetSlots() < 1 || s.GetFleetSlots() > maxFleetSlots {
		c.add("fleet_slots: %d is not from 1 to %d", s.GetFleetSlots(), maxFleetSlots)
	}
	c.level(s.GetLogLevel())
	c.timing(s)
}

func (c *checker) add(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.add("%s: %q is not a name of small letters, digits and hyphens", field, value)
	}
}

// addresses checks that every address is an IP number with a port and that no
// two of this instance's own clash. Callers and operators use TCP, peers UDP.
func (c *checker) addresses(s *wire.EntrySettings) {
	c.address("caller_address", s.GetCallerAddress())
	c.address("peer_address", s.GetPeerAddress())
	c.address("operator_address", s.GetOperatorAddress())
	c.address("platform.address", s.GetPlatform().GetAddress())
	for i, seed := range s.GetSeedPeers() {
		c.address(fmt.Sprintf("seed_peers[%d]", i), seed)
	}
	if s.GetCallerAddress() != "" && s.GetCallerAddress() == s.GetOperatorAddress() {
		c.add("operator_address: %s is the caller_address too", s.GetOperatorAddress())
	}
}

func (c *checker) address(field, value string) {
	if value == "" {
		c.add("%s: is missing", field)
		return
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		c.add("%s: %q is not an IP number with a port", field, value)
	}
}

func (c *checker) tls(field string, s *wire.TlsSettings, needAuthority bool) {
	if s.GetCertificateFile() == "" {
		c.add("%s.certificate_file: is missing", field)
	}
	if s.GetKeyFile() == "" {
		c.add("%s.key_file: is missing", field)
	}
	if needAuthority && s.GetAuthorityFile() == "" {
		c.add("%s.authority_file: is missing", field)
	}
}

func (c *checker) level(value string) {
	for _, level := range logLevels {
		if level == value {
			return
		}
	}
	c.add("log_level: %q is not one of %s", value, strings.Join(logLevels, ", "))
}

func (c *checker) timing(s *wire.EntrySettings) {
	t := s.GetTiming()
	spans := map[string]*durationpb.Duration{
		"platform.timeout":           s.GetPlatform().GetTimeout(),
		"timing.authority_term":      t.GetAuthorityTerm(),
		"timing.poll_interval":       t.GetPollInterval(),
		"timing.store_read_interval": t.GetStoreReadInterval(),
		"timing.loan_term":           t.GetLoanTerm(),
		"timing.suspicion_timeout":   t.GetSuspicionTimeout(),
		"timing.stop_timeout":        t.GetStopTimeout(),
	}
	for field, span := range spans {
		if span.AsDuration() < minInterval {
			c.add("%s: %s is shorter than %s", field, span.AsDuration(), minInterval)
		}
	}
	if t.GetAuthorityTerm().AsDuration() > maxAuthorityTerm {
		c.add("timing.authority_term: %s is longer than %s", t.GetAuthorityTerm().AsDuration(), maxAuthorityTerm)
	}
	if 2*t.GetPollInterval().AsDuration() > t.GetAuthorityTerm().AsDuration() {
		c.add("timing.poll_interval: must be at most half of timing.authority_term")
	}
}
