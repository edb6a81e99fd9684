package wharfdaemon_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wagtailwharfd/wharfdaemon"
	"wagtailwharf.example/wharf-standin/wharfhttpservice"
	"wagtailwharf.example/wharf-standin/wharfmodel"
	"wagtailwharf.example/wharf-standin/wharfplatform"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
	"wagtailwharf.example/wharf/protocol/wharfpeer"
	"wagtailwharf.example/wharf/protocol/wharfsettings"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

const (
	leaseTerm     = time.Second
	leaseMargin   = 100 * time.Millisecond
	operatorToken = "operator-token"
	readyLimit    = 15 * time.Second
	pollPeriod    = 20 * time.Millisecond
)

// cluster is a deployment of daemons in this process, before stand-ins.
type cluster struct {
	t        testing.TB
	platform *wharfplatform.Platform
	base     string
	nodes    []*node
	engines  []*engine
	service  *wharfhttpservice.Service
	bundle   string
	signer   ed25519.PrivateKey
	settings func(*wharfsettings.Settings)
	cut      atomic.Pointer[func(from, to string) bool]
	byPeer   sync.Map // netip.AddrPort → host
}

type engine struct {
	*wharfmodel.Engine
	name string
	zone string
	url  string
}

type node struct {
	cluster  *cluster
	daemon   *wharfdaemon.Daemon
	settings wharfsettings.Settings
	url      string
	operator string
	cancel   context.CancelFunc
	done     chan struct{}
}

// shape is the size of a cluster.
type shape struct {
	zones    []string
	daemons  int // in each zone
	engines  int // in each zone
	slots    int
	token    time.Duration
	rate     float64
	burst    float64
	checks   bool // engines check fencing numbers
	settings func(*wharfsettings.Settings)
}

func newCluster(t testing.TB, s shape) *cluster {
	t.Helper()
	_, signer, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	c := &cluster{t: t, platform: wharfplatform.New(), signer: signer, settings: s.settings}
	c.base = serve(t, c.platform)
	for _, zone := range s.zones {
		for i := range s.engines {
			e := wharfmodel.New(wharfmodel.Options{
				TokenTime: s.token, Slots: max(s.slots, 1), CacheEntries: 1024, RestartTime: 300 * time.Millisecond, CheckFences: s.checks,
			})
			c.engines = append(c.engines, &engine{Engine: e, name: fmt.Sprintf("engine-%s-%d", zone, i), zone: zone, url: serve(t, e)})
		}
	}
	c.service = wharfhttpservice.New()
	c.bundle = c.firstBundle(s, serve(t, c.service), serve(t, c.service))
	for _, zone := range s.zones {
		for i := range s.daemons {
			c.nodes = append(c.nodes, c.start(fmt.Sprintf("%s-%d", zone, i), zone))
		}
	}
	t.Cleanup(c.stop)
	c.apply(0, c.bundle)
	c.awaitReady()
	return c
}

func serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

func (c *cluster) firstBundle(s shape, services ...string) string {
	var text strings.Builder
	for _, zone := range s.zones {
		fmt.Fprintf(&text, "[[zone]]\nname = %q\nregion = \"r\"\n\n", zone)
	}
	for _, name := range []string{"alpha", "beta"} {
		fmt.Fprintf(&text, "[[organisation]]\nname = %q\nrate = %v\nburst = %v\n\n", name, s.rate, s.burst)
		text.WriteString(keyTable(name+"-1", name, keyOf(name)))
	}
	text.WriteString("[[service]]\nname = \"model\"\nkind = \"model\"\nmodel-version = \"1\"\n\n")
	text.WriteString("[[service]]\nname = \"ledger\"\nkind = \"plain\"\n")
	text.WriteString("[[service.route]]\npath = \"/open\"\nopen = true\nrepeatable = true\n")
	text.WriteString("[[service.route]]\npath = \"/read\"\nrepeatable = true\n")
	text.WriteString("[[service.route]]\npath = \"/entries\"\n\n")
	for _, e := range c.engines {
		fmt.Fprintf(&text, endpointTable, e.name, "model", e.zone, e.url, max(s.slots, 1))
	}
	for i, service := range services {
		fmt.Fprintf(&text, endpointTable, fmt.Sprintf("ledger-%d", i), "ledger", s.zones[0], service, 16)
	}
	return text.String()
}

const endpointTable = "[[endpoint]]\nname = %q\nservice = %q\navailability-zone = %q\nurl = %q\nslots = %d\n\n"

func keyOf(organisation string) string {
	return "secret-key-of-" + organisation
}

func keyTable(id, organisation, key string) string {
	return fmt.Sprintf("[[key]]\nid = %q\norganisation = %q\nsha256 = %q\n\n", id, organisation, wharfconfig.Hash([]byte(key)))
}

// hosts counts the loopback addresses given out; each daemon has its own, so that no connection of another process
// takes a port of it between its choice and the daemon's start.
var hosts atomic.Uint32

func freePorts(t testing.TB, ports ...*netip.AddrPort) {
	t.Helper()
	const aByte = 250
	number := hosts.Add(1)
	ip := netip.AddrFrom4([4]byte{127, 77, byte(number / aByte), byte(number%aByte) + 1})
	for _, port := range ports {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		assert.NilError(t, err)
		defer func() { _ = listener.Close() }()
		*port = netip.MustParseAddrPort(listener.Addr().String())
	}
}

func (c *cluster) start(host, zone string) *node {
	c.t.Helper()
	s := wharfsettings.Default()
	s.Host = host
	s.Zone = zone
	s.Platform = c.base
	freePorts(c.t, &s.Callers, &s.Peers, &s.Operators)
	s.Lease.Term = wharfsettings.Duration(leaseTerm)
	s.Lease.Margin = wharfsettings.Duration(leaseMargin)
	s.Drain.Grace = wharfsettings.Duration(100 * time.Millisecond)
	s.Signing.Needed = 1
	s.Signing.Signers = map[string]string{"signer": base64.StdEncoding.EncodeToString(c.signer.Public().(ed25519.PublicKey))}
	if c.settings != nil {
		c.settings(&s)
	}
	return c.run(s)
}

// run starts a daemon, be it for the first time or again with the same settings.
func (c *cluster) run(s wharfsettings.Settings) *node {
	c.t.Helper()
	c.byPeer.Store(s.Peers, s.Host)
	daemon, err := wharfdaemon.New(s, wharfdaemon.Tokens{Peer: "peer-token", Operator: operatorToken}, func(next wharfpeer.Caller) wharfpeer.Caller {
		return &cutCaller{cluster: c, host: s.Host, next: next}
	})
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		cluster:  c,
		daemon:   daemon,
		settings: s,
		url:      "http://" + s.Callers.String(),
		operator: "http://" + s.Operators.String(),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go func() {
		defer close(n.done)
		if err := daemon.Run(ctx); err != nil && ctx.Err() == nil {
			c.t.Errorf("%s ended: %v", s.Host, err)
		}
	}()
	return n
}

// kill cuts everything off that the daemon does.
func (n *node) kill() {
	n.cancel()
	<-n.done
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		<-n.done
	}
}

func (c *cluster) awaitReady() {
	c.t.Helper()
	for _, n := range c.nodes {
		c.eventually(readyLimit, func() bool { return n.daemon.Ready() == nil })
	}
}

func (c *cluster) eventually(limit time.Duration, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not so within %v", limit)
		}
		time.Sleep(pollPeriod)
	}
}

// cutCaller refuses calls between hosts that a test has cut off from each other.
type cutCaller struct {
	cluster *cluster
	host    string
	next    wharfpeer.Caller
}

func (cc *cutCaller) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	if cut := cc.cluster.cut.Load(); cut != nil {
		if host, ok := cc.cluster.byPeer.Load(to); ok && (*cut)(cc.host, host.(string)) {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	return cc.next.Call(ctx, to, method, args, reply)
}

func (c *cluster) setCut(cut func(from, to string) bool) {
	if cut == nil {
		c.cut.Store(nil)
		return
	}
	c.cut.Store(&cut)
}

func zoneOf(host string) string {
	return host[:strings.LastIndex(host, "-")]
}

func betweenZones(from, to string) bool {
	return zoneOf(from) != zoneOf(to)
}

// operate calls an operator interface and returns the status and the decoded answer.
func (n *node) operate(method, path string, body, result any) (int, string) {
	n.cluster.t.Helper()
	var data []byte
	if body != nil {
		var err error
		data, err = json.Marshal(body)
		assert.NilError(n.cluster.t, err)
	}
	request, err := http.NewRequest(method, n.operator+path, bytes.NewReader(data))
	assert.NilError(n.cluster.t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK && result != nil {
		assert.NilError(n.cluster.t, json.Unmarshal(answer, result))
	}
	return response.StatusCode, string(answer)
}

func (c *cluster) signed(text string) wharfrollout.Signed {
	return wharfrollout.Signed{Text: []byte(text), Signatures: []wharfrollout.Signature{{
		Signer: "signer", Bytes: ed25519.Sign(c.signer, []byte(text)),
	}}}
}

// applyAt applies a bundle through one host and returns the status and the result.
func (c *cluster) applyAt(n *node, parent uint64, text string) (int, wharfrollout.Result) {
	c.t.Helper()
	var result wharfrollout.Result
	status, _ := n.operate(http.MethodPost, "/v1/config", wharfoperator.ApplyRequest{Parent: parent, Operator: "test", Signed: c.signed(text)}, &result)
	return status, result
}

// apply applies a bundle and requires that it is in force.
func (c *cluster) apply(parent uint64, text string) {
	c.t.Helper()
	var result wharfrollout.Result
	c.eventually(readyLimit, func() bool {
		status := 0
		status, result = c.applyAt(c.nodes[0], parent, text)
		return status == http.StatusOK
	})
	assert.Assert(c.t, result.InForce, "unconfirmed: %v", result.Unconfirmed)
	c.bundle = text
}

// ask sends a request with a key and returns its status, refusal code and run state.
type reply struct {
	status int
	code   string
	state  string
	after  string
	body   string
	err    error
}

func (n *node) ask(method, path, key string, header http.Header, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return n.askWith(ctx, method, path, key, header, body)
}

func (n *node) askWith(ctx context.Context, method, path, key string, header http.Header, body string) reply {
	request, err := http.NewRequestWithContext(ctx, method, n.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, state: response.Header.Get("Wharf-Run-State"), after: response.Header.Get("Retry-After"), body: string(data), err: err}
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &refusal) == nil {
		r.code = refusal.Error.Code
	}
	return r
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"model","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
}

func (n *node) chat(key, prompt string, tokens int, stream bool) reply {
	return n.ask(http.MethodPost, "/v1/chat/completions", key, nil, chatBody(prompt, tokens, stream))
}
