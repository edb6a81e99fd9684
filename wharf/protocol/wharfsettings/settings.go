package wharfsettings

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"wagtailwharf.example/wharf/state/wharftoml"
)

// ErrInvalid means that a settings file is invalid.
var ErrInvalid = errors.New("invalid settings")

// Settings are the settings of one daemon.
type Settings struct {
	Host      string         `toml:"host"`
	Zone      string         `toml:"availability-zone"`
	Callers   netip.AddrPort `toml:"callers"`
	Peers     netip.AddrPort `toml:"peers"`
	Operators netip.AddrPort `toml:"operators"`
	Platform  string         `toml:"platform"`
	LogLevel  int            `toml:"log-level"`
	MemoryMB  int64          `toml:"memory-mb"` // memory limit of the process in MB (2^20 bytes), 0 for none
	Lease     Lease          `toml:"lease"`
	Secrets   Secrets        `toml:"secrets"`
	Signing   Signing        `toml:"signing"`
	TLS       TLS            `toml:"tls"`
	Limits    Limits         `toml:"limits"`
	Batch     Batch          `toml:"batch"`
	Drain     Drain          `toml:"drain"`
	Policies  Policies       `toml:"policies"`
}

// Policies select the policy of each kind: the default one, or a simpler one that it is compared with in experiments.
type Policies struct {
	Batch    string `toml:"batch"`
	Endpoint string `toml:"endpoint"`
	Rate     string `toml:"rate"`
	Queue    string `toml:"queue"`
}

// Names of policies; the first of each kind is the default.
const (
	BatchPreemptible   = "gives-way"
	BatchCeiling       = "ceiling"
	BatchUncontrolled  = "uncontrolled"
	EndpointTwoChoices = "two-choices"
	EndpointRandom     = "random"
	RateShared         = "shared"
	RateStatic         = "static"
	QueueFair          = "fair"
	QueueFIFO          = "first-come"
)

// Lease holds the term and safety margin of the host lease.
type Lease struct {
	Term   Duration `toml:"term"`
	Margin Duration `toml:"margin"`
}

// Secrets holds the paths of the deployment's token files.
type Secrets struct {
	PeerTokenFile     string `toml:"peer-token-file"`
	OperatorTokenFile string `toml:"operator-token-file"`
}

// Signing holds the number of signatures that a configuration needs, and the Ed25519 public keys of its signers in
// base64.
type Signing struct {
	Needed  int               `toml:"signatures-needed"`
	Signers map[string]string `toml:"signers"`
}

// TLS holds the certificates of the daemon's ports. Ports without a certificate are not encrypted.
type TLS struct {
	Callers   KeyPair `toml:"callers"`
	Operators KeyPair `toml:"operators"`
	Peers     KeyPair `toml:"peers"`
}

// KeyPair holds the paths of a certificate, its private key and, for peers, the certificate of the authority that signs
// the certificates of peers.
type KeyPair struct {
	CertificateFile string `toml:"certificate-file"`
	KeyFile         string `toml:"key-file"`
	AuthorityFile   string `toml:"authority-file"`
}

// Configured reports whether a certificate file is given.
func (k *KeyPair) Configured() bool {
	return k.CertificateFile != ""
}

func (t *TLS) validate(require func(bool, string, ...any)) {
	for name, pair := range map[string]KeyPair{"callers": t.Callers, "operators": t.Operators, "peers": t.Peers} {
		require((pair.CertificateFile == "") == (pair.KeyFile == ""), "tls.%s needs both certificate-file and key-file",
			name)
	}
	require(!t.Peers.Configured() || t.Peers.AuthorityFile != "", "tls.peers.authority-file is missing")
}

// Limits holds the limits and timeouts of requests of callers.
type Limits struct {
	MaxBodyBytes     int64    `toml:"max-body-bytes"`
	MaxUploadBytes   int64    `toml:"max-upload-bytes"`
	QueueTimeout     Duration `toml:"patience"`
	FirstByteTimeout Duration `toml:"first-byte"`
	IdleTimeout      Duration `toml:"idle"`
	BodyTimeout      Duration `toml:"body-time"`
	BodyRate         int64    `toml:"body-rate"`       // least bytes per second of a body
	MaxOpenFiles     int      `toml:"max-open-files"`  // of the process; 0 for what the system allows it
	MaxConnections   int      `toml:"max-connections"` // of callers; 0 for five eighths of MaxOpenFiles
	MaxAttempts      int      `toml:"attempts"`
	RetryShare       float64  `toml:"retry-share"`
}

// Batch holds the fraction of slots, from 0 to 1, that batch requests leave to online requests.
type Batch struct {
	Headroom float64 `toml:"headroom"`
}

// Drain holds the grace period and time limit of a planned shutdown.
type Drain struct {
	Grace Duration `toml:"grace"`
	Limit Duration `toml:"limit"`
}

// Duration is a time.Duration that is written as text, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Lease: Lease{Term: Duration(4 * time.Second), Margin: Duration(250 * time.Millisecond)},
		Limits: Limits{
			MaxBodyBytes:     4 << 20,
			MaxUploadBytes:   200 << 20,
			QueueTimeout:     Duration(time.Second),
			FirstByteTimeout: Duration(60 * time.Second),
			IdleTimeout:      Duration(15 * time.Second),
			BodyTimeout:      Duration(30 * time.Second),
			BodyRate:         defaultBodyRate,
			MaxAttempts:      3,
			RetryShare:       0.1,
		},
		Batch:    Batch{Headroom: 0.375},
		Policies: Policies{Batch: BatchPreemptible, Endpoint: EndpointTwoChoices, Rate: RateShared, Queue: QueueFair},
		Drain:    Drain{Grace: Duration(2 * time.Second), Limit: Duration(60 * time.Second)},
	}
}

const (
	// defaultBodyRate is below the rate of any link that is of use.
	defaultBodyRate = 1 << 10
	// uploadShare and bodyShare are the numbers of input files and of other bodies of the largest size that callers may have
	// in memory together: a file and the chunks that are stored take twice its size.
	uploadShare = 2
	bodyShare   = 4
	// smallBodyReserve is the memory for small bodies beside that.
	smallBodyReserve = 4 << 20
)

// BodyMemory returns the bytes that callers' bodies may hold together, and the reserve for small ones beside them.
func (s *Settings) BodyMemory() (size, reserve int64) {
	return uploadShare*s.Limits.MaxUploadBytes + bodyShare*s.Limits.MaxBodyBytes, smallBodyReserve
}

// MaxConnections returns the largest number of callers' connections for a process that may open openFiles descriptors:
// five eighths. The others are for endpoints, other hosts, the platform and files.
func (s *Settings) MaxConnections(openFiles int) int {
	if s.Limits.MaxConnections > 0 {
		return s.Limits.MaxConnections
	}
	if s.Limits.MaxOpenFiles > 0 {
		openFiles = min(openFiles, s.Limits.MaxOpenFiles)
	}
	return openFiles * 5 / 8
}

// Read reads and validates a settings file.
func Read(path string) (Settings, error) {
	return ReadInto(path, Default(), (*Settings).Validate)
}

// Parse decodes and validates settings. The error for an unknown key names its line.
func Parse(text []byte) (Settings, error) {
	return ParseInto(text, Default(), (*Settings).Validate)
}

// ReadInto decodes a file into settings that hold the defaults, and validates the result.
func ReadInto[T any](path string, settings T, validate func(*T) error) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, trace.Wrap(err)
	}
	return ParseInto(text, settings, validate)
}

// ParseInto decodes a text into settings that hold the defaults, and validates the result. The error for an unknown key
// names its line.
func ParseInto[T any](text []byte, settings T, validate func(*T) error) (T, error) {
	if err := wharftoml.Decode(text, &settings, ErrInvalid); err != nil {
		return settings, trace.Wrap(err)
	}
	return settings, trace.Wrap(validate(&settings))
}

// Validate returns all violations of the rules, joined under ErrInvalid.
func (s *Settings) Validate() error {
	var problems []error
	require := func(holds bool, format string, args ...any) {
		if !holds {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	require(s.Host != "" && !strings.ContainsAny(s.Host, "/ "), "host must be a name without slashes or spaces")
	require(s.Zone != "" && !strings.ContainsAny(s.Zone, "/ "),
		"availability-zone must be a name without slashes or spaces")
	require(s.Callers.IsValid(), "callers must be an address and a port")
	require(s.Peers.IsValid() && !s.Peers.Addr().IsUnspecified(),
		"peers must be an address that other hosts can call and a port")
	require(s.Operators.IsValid(), "operators must be an address and a port")
	base, err := url.Parse(s.Platform)
	require(err == nil && base.Scheme != "" && base.Host != "", "platform must be an absolute url")
	require(s.Secrets.PeerTokenFile != "", "secrets.peer-token-file is missing")
	require(s.Secrets.OperatorTokenFile != "", "secrets.operator-token-file is missing")
	s.TLS.validate(require)
	s.Policies.validate(require)
	s.validateDurations(require)
	s.validateLimits(require)
	_, err = s.SignerKeys()
	require(err == nil, "signing.signers: %v", err)
	require(s.Signing.Needed >= 1 && s.Signing.Needed <= len(s.Signing.Signers),
		"signing.signatures-needed must be from 1 to the number of signers")
	if len(problems) == 0 {
		return nil
	}
	return trace.Wrap(fmt.Errorf("%w: %w", ErrInvalid, errors.Join(problems...)))
}

func (p *Policies) validate(require func(bool, string, ...any)) {
	for _, choice := range []struct {
		key, value string
		names      []string
	}{
		{"batch", p.Batch, []string{BatchPreemptible, BatchCeiling, BatchUncontrolled}},
		{"endpoint", p.Endpoint, []string{EndpointTwoChoices, EndpointRandom}},
		{"rate", p.Rate, []string{RateShared, RateStatic}},
		{"queue", p.Queue, []string{QueueFair, QueueFIFO}},
	} {
		require(slices.Contains(choice.names, choice.value), "policies.%s must be one of %q", choice.key, choice.names)
	}
}

func (s *Settings) validateDurations(require func(bool, string, ...any)) {
	const minLeaseTerm = 500 * time.Millisecond
	require(time.Duration(s.Lease.Term) >= minLeaseTerm, "lease.term must be at least %v", minLeaseTerm)
	require(s.Lease.Margin > 0 && s.Lease.Margin < s.Lease.Term, "lease.margin must be above 0 and below lease.term")
	require(s.Limits.QueueTimeout > 0, "limits.patience must be above 0")
	require(s.Limits.FirstByteTimeout > 0, "limits.first-byte must be above 0")
	require(s.Limits.IdleTimeout > 0, "limits.idle must be above 0")
	require(s.Limits.BodyTimeout > 0, "limits.body-time must be above 0")
	require(s.Drain.Grace >= 0 && s.Drain.Limit > 0, "drain.grace must not be negative and drain.limit must be above 0")
}

// minOpenFiles is the smallest number of descriptors with which a daemon can start and serve requests.
const minOpenFiles = 64

func (s *Settings) validateLimits(require func(bool, string, ...any)) {
	const maxAttempts = 10
	require(s.Limits.MaxBodyBytes > 0, "limits.max-body-bytes must be above 0")
	require(s.Limits.MaxUploadBytes > 0, "limits.max-upload-bytes must be above 0")
	require(s.Limits.BodyRate >= 0, "limits.body-rate must not be negative")
	require(s.Limits.MaxOpenFiles == 0 || s.Limits.MaxOpenFiles >= minOpenFiles,
		"limits.max-open-files must be at least %d, or 0", minOpenFiles)
	require(s.Limits.MaxConnections >= 0, "limits.max-connections must not be negative")
	size, reserve := s.BodyMemory()
	require(s.MemoryMB == 0 || s.MemoryMB<<20 >= 2*(size+reserve),
		"memory-mb must be at least %d for these limits of bodies and input files, or 0", (2*(size+reserve)+1<<20-1)>>20)
	require(s.Limits.MaxAttempts >= 1 && s.Limits.MaxAttempts <= maxAttempts, "limits.attempts must be from 1 to %d",
		maxAttempts)
	require(s.Limits.RetryShare >= 0 && s.Limits.RetryShare <= 1, "limits.retry-share must be from 0 to 1")
	require(s.Batch.Headroom >= 0 && s.Batch.Headroom < 1, "batch.headroom must be at least 0 and below 1")
}

// SignerKeys returns the public keys of the signers by name.
func (s *Settings) SignerKeys() (map[string]ed25519.PublicKey, error) {
	keys := map[string]ed25519.PublicKey{}
	for name, text := range s.Signing.Signers {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, trace.Wrap(fmt.Errorf("%w: key of signer %q is not an Ed25519 public key in base64", ErrInvalid,
				name))
		}
		keys[name] = key
	}
	return keys, nil
}

// Token reads the token in a file and trims surrounding white space.
func Token(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", trace.Wrap(err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" || strings.ContainsAny(token, "\n ") {
		return "", trace.Wrap(fmt.Errorf("%w: file %s must contain exactly one token", ErrInvalid, path))
	}
	return token, nil
}
