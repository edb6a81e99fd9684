package wharfstack

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"wagtailwharf.example/wharf-load/wharfprocess"
)

const (
	dirMode      = 0o700
	fileMode     = 0o600
	readyTimeout = 40 * time.Second
	pollInterval = 50 * time.Millisecond
)

// ErrNotReady is returned when a process does not become ready in time.
var ErrNotReady = errors.New("process did not become ready in time")

// Options configures a deployment.
type Options struct {
	BinDir         string // directory of the binaries
	WorkDir        string // directory for settings, keys and logs
	Zones          []string
	Region         string
	DaemonsPerZone int
	EnginesPerZone int
	ExtraEndpoints int // further endpoint names, all with the first engine's address
	Slots          int
	TokenTime      time.Duration
	Service        string
	Organisations  []Organisation
	LeaseTerm      time.Duration
	Headroom       float64
	Policies       map[string]string // [policies] of the daemons' settings; empty values are omitted
	Limits         string            // lines of [limits] of the daemons' settings
}

// Organisation is an organisation of the deployment, which gets one API key.
type Organisation struct {
	Name   string
	Rate   float64
	Burst  float64
	Weight float64
}

// Process is a process of the deployment with its addresses. OperatorURL is set for daemons only.
type Process struct {
	*wharfprocess.Process
	Name        string
	Zone        string
	URL         string
	OperatorURL string
	Address     netip.AddrPort
}

// Stack is a running deployment.
type Stack struct {
	Options           Options
	Platform          *Process
	Engines           []*Process
	Services          []*Process
	Daemons           []*Process
	Keys              map[string]string // API keys by organisation
	BundleFile        string
	OperatorTokenFile string
	signerPublicKey   string
	loopbackBlock     byte
}

// Start starts all processes, applies the initial configuration with the CLI, and waits until all daemons are ready.
func Start(ctx context.Context, options Options) (*Stack, error) {
	s := &Stack{Options: options, Keys: map[string]string{}}
	if err := s.prepare(); err != nil {
		return nil, err
	}
	if err := s.startAll(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// prepare creates the working directory, the tokens and the signing key, and picks a loopback address block.
func (s *Stack) prepare() error {
	if err := os.MkdirAll(s.Options.WorkDir, dirMode); err != nil {
		return err
	}
	block := make([]byte, 1)
	_, _ = rand.Read(block)
	s.loopbackBlock = block[0]%250 + 2
	for _, name := range []string{"peer-token", "operator-token"} {
		if err := s.writeFile(name, rand.Text()); err != nil {
			return err
		}
	}
	s.OperatorTokenFile = s.path("operator-token")
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	s.signerPublicKey = base64.StdEncoding.EncodeToString(public)
	return s.writeFile("signer.key", base64.StdEncoding.EncodeToString(private.Seed()))
}

func (s *Stack) path(name string) string {
	return filepath.Join(s.Options.WorkDir, name)
}

func (s *Stack) writeFile(name, text string) error {
	return os.WriteFile(s.path(name), []byte(text+"\n"), fileMode)
}

// freeAddress returns an address with a free port in this stack's loopback block, in which subnet and host are the last
// two octets.
func (s *Stack) freeAddress(subnet, host int) (netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, s.loopbackBlock, byte(subnet), byte(host)})
	listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func (s *Stack) startAll(ctx context.Context) error {
	platform, err := s.startStandIn(ctx, "platform", "", 1, 1, "platform")
	if err != nil {
		return err
	}
	s.Platform = platform
	if err := s.startEndpoints(ctx); err != nil {
		return err
	}
	if err := s.startDaemons(ctx); err != nil {
		return err
	}
	s.BundleFile = s.path("bundle.toml")
	if err := s.writeBundle(); err != nil {
		return err
	}
	if err := s.ApplyBundle(ctx); err != nil {
		return err
	}
	return s.AwaitReady(ctx)
}

func (s *Stack) startEndpoints(ctx context.Context) error {
	for z, zone := range s.Options.Zones {
		for i := range s.Options.EnginesPerZone {
			name := fmt.Sprintf("engine-%s-%d", zone, i+1)
			engine, err := s.startStandIn(ctx, name, zone, z+10, i+1, "engine",
				"--token-time", s.Options.TokenTime.String(), "--slots", fmt.Sprint(s.Options.Slots))
			if err != nil {
				return err
			}
			s.Engines = append(s.Engines, engine)
		}
	}
	service, err := s.startStandIn(ctx, "ledger-1", s.Options.Zones[0], 100, 1, "service")
	if err != nil {
		return err
	}
	s.Services = append(s.Services, service)
	return nil
}

// startStandIn starts wharf-standin with args at a free address and waits until it accepts connections.
func (s *Stack) startStandIn(
	ctx context.Context, name, zone string, subnet, host int, args ...string,
) (*Process, error) {
	address, err := s.freeAddress(subnet, host)
	if err != nil {
		return nil, err
	}
	args = append(args, "--listen", address.String())
	p := &Process{
		Process: s.newProcess(name, "wharf-standin", args...), Name: name, Zone: zone,
		URL: "http://" + address.String(), Address: address,
	}
	if err := p.Start(); err != nil {
		return nil, err
	}
	return p, awaitPort(ctx, address)
}

// awaitPort waits until a TCP connection to address succeeds.
func awaitPort(ctx context.Context, address netip.AddrPort) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", address.String(), pollInterval)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%w: %s", ErrNotReady, address)
}

func (s *Stack) newProcess(name, program string, args ...string) *wharfprocess.Process {
	return wharfprocess.New(s.path(name+".log"), filepath.Join(s.Options.BinDir, program), args...)
}

func (s *Stack) startDaemons(ctx context.Context) error {
	for z, zone := range s.Options.Zones {
		for i := range s.Options.DaemonsPerZone {
			daemon, err := s.startDaemon(zone, z, i)
			if err != nil {
				return err
			}
			s.Daemons = append(s.Daemons, daemon)
		}
	}
	for _, daemon := range s.Daemons {
		if err := awaitPort(ctx, daemon.Address); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stack) startDaemon(zone string, zoneIndex, index int) (*Process, error) {
	name := fmt.Sprintf("entry-%s-%d", zone, index+1)
	addresses := make([]netip.AddrPort, 3)
	for k := range addresses {
		address, err := s.freeAddress(zoneIndex+1, index+1)
		if err != nil {
			return nil, err
		}
		addresses[k] = address
	}
	settings := fmt.Sprintf(settingsFormat, name, zone, addresses[0], addresses[1], addresses[2], s.Platform.URL,
		s.Options.LeaseTerm, s.path("peer-token"), s.path("operator-token"), s.Options.Headroom,
		s.signerPublicKey) + s.policySettings() + "\n\n[limits]\n" + s.Options.Limits
	if err := s.writeFile(name+".toml", settings); err != nil {
		return nil, err
	}
	p := &Process{
		Process:     s.newProcess(name, "wagtailwharfd", "--settings", s.path(name+".toml")),
		Name:        name,
		Zone:        zone,
		URL:         "http://" + addresses[0].String(),
		OperatorURL: "http://" + addresses[2].String(),
		Address:     addresses[0],
	}
	return p, p.Start()
}

// policySettings returns the [policies] table of the daemons' settings.
func (s *Stack) policySettings() string {
	text := "\n\n[policies]"
	for name, value := range s.Options.Policies {
		if value != "" {
			text += fmt.Sprintf("\n%s = %q", name, value)
		}
	}
	return text
}

const settingsFormat = `host = %q
availability-zone = %q
callers = %q
peers = %q
operators = %q
platform = %q
log-level = 1

[lease]
term = %q
margin = "200ms"

[secrets]
peer-token-file = %q
operator-token-file = %q

[batch]
headroom = %v

[drain]
grace = "500ms"

[signing]
signatures-needed = 1

[signing.signers]
operator = %q`

// AwaitReady waits until every daemon is ready. The error wraps ErrNotReady if readyTimeout passes or ctx is done
// first.
func (s *Stack) AwaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, daemon := range s.Daemons {
		for !Ready(daemon) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%w: %s", ErrNotReady, daemon.Name)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Ready reports whether a daemon's readiness check passes.
func Ready(p *Process) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(p.OperatorURL + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusNoContent
}

// CLI runs the wagtailwharf CLI against the first daemon and returns its output.
func (s *Stack) CLI(ctx context.Context, args ...string) (string, error) {
	command := exec.CommandContext(ctx, filepath.Join(s.Options.BinDir, "wagtailwharf"), args...)
	command.Env = append(os.Environ(),
		"WHARF_OPERATORS="+s.Daemons[0].OperatorURL,
		"WHARF_OPERATOR_TOKEN_FILE="+s.OperatorTokenFile,
		"WHARF_CALLERS="+s.Daemons[0].URL)
	out, err := command.CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("wagtailwharf %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return strings.TrimSpace(string(out)), nil
}

// ApplyBundle signs the bundle file and applies it, retrying every second until readyTimeout.
func (s *Stack) ApplyBundle(ctx context.Context) error {
	signature := s.path("bundle.sig")
	_, err := s.CLI(ctx, "config", "sign", s.BundleFile, "--signer", "operator", "--key-file", s.path("signer.key"),
		"--out", signature)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err := s.CLI(ctx, "config", "apply", s.BundleFile, "--signature", signature)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(time.Second)
	}
}

// Stop kills all processes.
func (s *Stack) Stop() {
	all := append([]*Process{}, s.Daemons...)
	all = append(all, s.Engines...)
	all = append(all, s.Services...)
	if s.Platform != nil {
		all = append(all, s.Platform)
	}
	for _, p := range all {
		p.Kill()
	}
}
