package wharfaudit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfroute"
)

type (
	document      = *wharfroute.Document
	configuration = *wharfroute.Configuration
)

// newDocument returns a document without findings, one entry a line.
func newDocument() *wharfroute.Document {
	return &wharfroute.Document{
		Configuration: wharfroute.Configuration{
			Version: 7,
			Routes: []wharfroute.Route{
				{Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: wharfroute.Streaming, Timeout: 5 * time.Second,
					Objective: 300 * time.Millisecond, GapObjective: 250 * time.Millisecond, MaxAttempts: 2, Resumable: true,
					Targets: []wharfroute.Target{{Service: "s", Weight: 1}, {Service: "new", Weight: 0}}},
				{Name: "all", Host: "h", PathPrefix: "/", Kind: wharfroute.AtMostOnce, MaxAttempts: 1,
					Targets: []wharfroute.Target{{Service: "new", Weight: 1}}, AllowedRegions: []string{"a", "b"}},
				{Name: "batch", Host: "other", PathPrefix: "/chat/", Kind: wharfroute.Batch, MaxAttempts: 3,
					CompletionTarget: time.Second, MaxWait: time.Minute, Targets: []wharfroute.Target{{Service: "s", Weight: 1}}},
			},
			Services: []wharfroute.Service{{Name: "s", ColdPerSecond: 8, ColdStart: time.Second}, {Name: "new"}},
			Organisations: []wharfroute.Organisation{
				{Name: "o", Rate: 10, Burst: 10, AllowedRegions: []string{"b"}}, {Name: "p"},
			},
			Limits: wharfroute.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, IdleTimeout: 15 * time.Second},
		},
		RouteLines: []int{1, 2, 3}, ServiceLines: []int{4, 5}, OrganisationLines: []int{6, 7}, LimitsLine: 8,
		Keys: []wharfroute.DocumentKey{{Text: "k", Organisation: "o", Line: 6}, {Text: "l", Organisation: "p", Line: 7}},
	}
}

// texts formats findings as "SEVERITY LINE KIND: REASON".
func texts(findings []Finding) string {
	var lines []string
	for _, f := range findings {
		lines = append(lines, fmt.Sprintf("%s %d %s: %s", f.Severity, f.Line, f.Kind, f.Reason))
	}
	return strings.Join(lines, "\n")
}

func TestDocumentWithoutProblemsHasNoFindings(t *testing.T) {
	assert.Equal(t, texts(Configuration(newDocument())), "")
	assert.Equal(t, texts(Differences(newDocument(), newDocument())), "")
}

// checkFindings applies each edit to a document without findings, and checks that this gives one finding, which begins with
// the edit's key.
func checkFindings(t *testing.T, edits map[string]func(document, configuration)) {
	t.Helper()
	for want, edit := range edits {
		t.Run(want, func(t *testing.T) {
			d := newDocument()
			edit(d, &d.Configuration)
			findings := Configuration(d)
			assert.Equal(t, len(findings), 1, texts(findings))
			assert.Assert(t, strings.HasPrefix(texts(findings), want), texts(findings))
		})
	}
}

// TestRoutes guards against problems of routes that are not reported, reported at another place, or reported by several checks.
func TestRoutes(t *testing.T) {
	checkFindings(t, map[string]func(document, configuration){
		`error 3 route: no request reaches it: route "chat" has the same host and prefix`: func(_ document, c configuration) {
			c.Routes[2].Host = "h"
		},
		`error 2 route: an earlier route has the same name`: func(_ document, c configuration) { c.Routes[1].Name = "chat" },
		`error 2 route: no request reaches it: prefix "/x" must`: func(_ document, c configuration) {
			c.Routes[1].PathPrefix = "/x"
		},
		`error 2 route: no request reaches it: host "h:80" has port`: func(_ document, c configuration) { c.Routes[1].Host = "h:80" },
		`error 2 route: no request reaches it: it has no host`:       func(_ document, c configuration) { c.Routes[1].Host = "" },
		`error 3 route: service "gone" does not exist`: func(_ document, c configuration) {
			c.Routes[2].Targets[0].Service = "gone"
		},
		`error 3 route: weights sum to 0: all requests go to service "s"`: func(_ document, c configuration) {
			c.Routes[2].Targets[0].Weight = 0
		},
		`error 1 route: weight -0.5 of service "new" is negative`: func(_ document, c configuration) {
			c.Routes[0].Targets[1].Weight = -0.5
		},
		`error 3 route: has no service`: func(_ document, c configuration) { c.Routes[2].Targets = nil },
		`warning 1 route: maximum wait has no effect`: func(_ document, c configuration) {
			c.Routes[0].MaxWait = time.Second
		},
		`warning 1 route: completion target has no effect`: func(_ document, c configuration) {
			c.Routes[0].CompletionTarget = time.Second
		},
		`warning 1 route: limit of waiting tokens has no effect`: func(_ document, c configuration) { c.Routes[0].MaxWaitingTokens = 1 },
		`error 2 route: maximum number of attempts -1`:           func(_ document, c configuration) { c.Routes[1].MaxAttempts = -1 },
		`warning 1 route: service "new" is listed twice`: func(_ document, c configuration) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, c.Routes[0].Targets[1])
		},
		`warning 1 route: gap objective 6s is longer than`: func(_ document, c configuration) { c.Routes[0].GapObjective = 6 * time.Second },
		`warning 1 route: reason`: func(d document, _ configuration) {
			d.Unused = []wharfroute.UnusedValue{{Kind: KindRoute, Line: 1, Reason: "reason"}}
		},
		`warning 3 route: batch route without completion target`:      func(_ document, c configuration) { c.Routes[2].CompletionTarget = 0 },
		`warning 3 route: batch route without maximum wait`:           func(_ document, c configuration) { c.Routes[2].MaxWait = 0 },
		`warning 2 route: 2 attempts have no effect`:                  func(_ document, c configuration) { c.Routes[1].MaxAttempts = 2 },
		`warning 1 route: 2 attempts have no effect`:                  func(_ document, c configuration) { c.Routes[0].Resumable = false },
		`warning 2 route: gap objective has no effect`:                func(_ document, c configuration) { c.Routes[1].GapObjective = 1 },
		`warning 2 route: resumption has no effect`:                   func(_ document, c configuration) { c.Routes[1].Resumable = true },
		`warning 1 route: objective 6s is longer than the timeout 5s`: func(_ document, c configuration) { c.Routes[0].Objective = 6 * time.Second },
		`warning 3 route: completion target 2m0s is longer than`: func(_ document, c configuration) {
			c.Routes[2].CompletionTarget = 2 * time.Minute
		},
		`warning 2 route: refuses organisation "o": no allowed region`: func(_ document, c configuration) { c.Routes[1].AllowedRegions = []string{"a"} },
	})
}

// TestOtherEntries guards against the same for services, organisations, keys and limits.
func TestOtherEntries(t *testing.T) {
	checkFindings(t, map[string]func(document, configuration){
		`warning 4 service: limit for cold endpoints without the time`: func(_ document, c configuration) { c.Services[0].ColdStart = 0 },
		`warning 0 service: no route uses it`: func(_ document, c configuration) {
			c.Services = append(c.Services, wharfroute.Service{Name: "idle"})
		},
		`warning 6 organisation: burst 0.5 of rate 10 is below 1`: func(_ document, c configuration) { c.Organisations[0].Burst = 0.5 },
		`warning 7 organisation: burst 5 has no effect: no rate`:  func(_ document, c configuration) { c.Organisations[1].Burst = 5 },
		`error 6 organisation: rate -1 is negative`:               func(_ document, c configuration) { c.Organisations[0].Rate = -1 },
		`error 7 organisation: burst -1 is negative`:              func(_ document, c configuration) { c.Organisations[1].Burst = -1 },
		`error 5 service: maximum number of connections -1`:       func(_ document, c configuration) { c.Services[1].MaxConnections = -1 },
		`error 0 service: an earlier service has the same name`: func(_ document, c configuration) {
			c.Services = append(c.Services, c.Services[1])
		},
		`error 0 organisation: an earlier organisation has`: func(_ document, c configuration) {
			c.Organisations = append(c.Organisations, c.Organisations[1])
		},
		`error 2 route: has no name`: func(_ document, c configuration) { c.Routes[1].Name = "" },
		`warning 9 key: organisation "o" lists it twice`: func(d document, _ configuration) {
			d.Keys = append(d.Keys, wharfroute.DocumentKey{Text: "k", Organisation: "o", Line: 9})
		},
		`warning 7 organisation: has no key`:                   func(d document, _ configuration) { d.Keys = d.Keys[:1] },
		`error 7 key: organisations "o" and "p" hold the same`: func(d document, _ configuration) { d.Keys[1].Text = "k" },
		`error 7 key: empty key: callers without a key are`:    func(d document, _ configuration) { d.Keys[1].Text = "" },
		`error 9 key: organisation "q" does not exist`: func(d document, _ configuration) {
			d.Keys = append(d.Keys, wharfroute.DocumentKey{Text: "m", Organisation: "q", Line: 9})
		},
		`warning 8 limits: no limit of the header's size`: func(_ document, c configuration) { c.Limits.HeaderBytes = 0 },
		`warning 8 limits: no limit of the body's size`:   func(_ document, c configuration) { c.Limits.BodyBytes = 0 },
		`warning 8 limits: no idle timeout`:               func(_ document, c configuration) { c.Limits.IdleTimeout = 0 },
		`warning 8 limits: header limit of 16384 bytes is`: func(_ document, c configuration) {
			c.Limits.BodyBytes = 100
		},
	})
}

// TestKeysWithoutUse guards against organisations whose rates are never in force because all routes are open.
func TestKeysWithoutUse(t *testing.T) {
	d := newDocument()
	d.Configuration.Routes = d.Configuration.Routes[:1]
	d.Configuration.Routes[0].Open = true
	assert.Assert(t, strings.Contains(texts(Configuration(d)), "its keys have no use"))
}

// TestDifferences guards against changes that an operator does not see before they are in force.
func TestDifferences(t *testing.T) {
	d := newDocument()
	c := &d.Configuration
	c.Version = 8
	c.Routes[0].MaxAttempts = 3
	c.Routes[2].Kind = wharfroute.Idempotent
	c.Routes = slices.Delete(c.Routes, 1, 2)
	d.RouteLines = []int{1, 3}
	c.Services = append(c.Services, wharfroute.Service{Name: "later"})
	c.Organisations[0].Rate = 4
	c.Organisations[0].AllowedRegions = nil
	c.Limits.IdleTimeout = time.Second
	d.Keys[0].Text = "other"
	assert.Equal(t, texts(Differences(d, newDocument())), strings.Join([]string{
		"warning 6 organisation: rate is lowered from 10 to 4",
		"warning 0 key: removed",
		"difference 1 route: changed: max-attempts 3, was 2",
		"difference 3 route: changed: kind idempotent, was batch",
		"difference 6 organisation: changed: rate 4, was 10; allowed-regions [], was [b]",
		"difference 6 key: added",
		"difference 8 limits: changed: idle-timeout 1s, was 15s",
		"difference 0 route: removed",
		"difference 0 service: added",
		"difference 0 configuration: version 8, was 7",
	}, "\n"))
	c.Version = 7
	assert.Assert(t, strings.HasPrefix(texts(Differences(d, newDocument())), "error 0 configuration: version 7 is not newer than 7"))
	older := newDocument()
	older.Configuration.Version = 6
	assert.Assert(t, strings.HasPrefix(texts(Differences(older, newDocument())), "error 0 configuration: version 6 is not newer"))
	for _, finding := range Differences(d, newDocument()) {
		assert.Assert(t, finding.Name != "k" && finding.Name != "other", "a finding discloses a key")
	}
}

const bundleText = `[[zone]]
name = "a"
[[organisation]]
name = "o"
rate = 10
burst = 10
[[key]]
id = "o-1"
organisation = "o"
sha256 = "HASH"
[[service]]
name = "s"
kind = "plain"
[[service.route]]
path = "/x"
[[endpoint]]
name = "e"
service = "s"
availability-zone = "a"
url = "http://e"
slots = 1
`

func parseBundle(t *testing.T, replacements ...string) *wharfconfig.Bundle {
	t.Helper()
	text := strings.NewReplacer(replacements...).Replace(bundleText)
	b, err := wharfconfig.Parse([]byte(strings.Replace(text, "HASH", wharfconfig.Hash([]byte("k")), 1)))
	assert.NilError(t, err)
	return b
}

// TestBundle guards against entries of a valid bundle that serve nobody.
func TestBundle(t *testing.T) {
	assert.Equal(t, texts(Bundle(parseBundle(t))), "")
	for want, replacements := range map[string][]string{
		"warning 0 organisation: has no key":                        {"[[key]]", "[[organisation]]\nname=\"p\"\nrate=1\nburst=1\n[[key]]"},
		"warning 0 service: has no endpoint":                        {"[[service]]", "[[service]]\nname=\"t\"\nkind=\"model\"\n[[service]]"},
		"warning 0 service: all its endpoints are leaving":          {"slots = 1", "slots = 1\nleaving = true"},
		"warning 0 service: its routes have no effect":              {`"plain"`, `"model"`},
		"warning 0 service: no request reaches it":                  {"[[service.route]]\npath = \"/x\"\n", ""},
		`warning 0 service: no request reaches its second route "/`: {`path = "/x"`, "path = \"/x\"\n[[service.route]]\npath = \"/x\""},
		`error 0 key: key "o-1" has the same hash`: {"[[service]]\n", "[[key]]\nid=\"o-2\"\norganisation=\"o\"\nsha256=\"" +
			strings.ToUpper(wharfconfig.Hash([]byte("k"))) + "\"\n[[service]]\n"},
	} {
		findings := texts(Bundle(parseBundle(t, replacements...)))
		assert.Assert(t, strings.HasPrefix(findings, want) && !strings.Contains(findings, "\n"), "%s: %s", want, findings)
	}
}

// TestBundleDifferences guards against keys that stop without a warning.
func TestBundleDifferences(t *testing.T) {
	assert.Equal(t, texts(BundleDifferences(parseBundle(t), parseBundle(t))), "")
	changed := parseBundle(t, "rate = 10", "rate = 2", "slots = 1", "slots = 3", "HASH", wharfconfig.Hash([]byte("l")))
	assert.Equal(t, texts(BundleDifferences(changed, parseBundle(t))), fmt.Sprintf(`warning 0 organisation: rate is lowered from 10 to 2
warning 0 key: replaced: callers with the old key are refused
difference 0 organisation: changed: rate 2, was 10
difference 0 endpoint: changed: slots 3, was 1
difference 0 key: changed: sha256 %s, was %s`, wharfconfig.Hash([]byte("l")), wharfconfig.Hash([]byte("k"))))
	changed.Keys = nil
	assert.Assert(t, strings.Contains(texts(BundleDifferences(changed, parseBundle(t))), "warning 0 key: removed"))
}
