package wharfaudit

import (
	"net"
	"strings"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// keyNameLength is the number of digits of a key's SHA-256 that stand for the key, which is a secret, in findings.
const keyNameLength = 8

// Configuration returns the errors and warnings for a routing configuration.
func Configuration(d *wharfroute.Document) []Finding {
	a := &audit{}
	for _, u := range d.Unused {
		a.add(Warning, entry{u.Kind, u.Name, u.Line}, "%s", u.Reason)
	}
	a.checkRoutes(d)
	a.checkServices(d)
	a.checkOrganisations(d)
	a.checkKeys(d)
	a.checkLimits(d)
	return a.sorted()
}

func routeEntry(d *wharfroute.Document, i int) entry {
	return entry{KindRoute, d.Configuration.Routes[i].Name, lineAt(d.RouteLines, i)}
}

func serviceEntry(d *wharfroute.Document, i int) entry {
	return entry{KindService, d.Configuration.Services[i].Name, lineAt(d.ServiceLines, i)}
}

func organisationEntry(d *wharfroute.Document, i int) entry {
	return entry{KindOrganisation, d.Configuration.Organisations[i].Name, lineAt(d.OrganisationLines, i)}
}

// checkName reports an entry without a name and one whose name an earlier entry has.
func (a *audit) checkName(e entry, seen map[string]bool) {
	a.addIf(e.name == "", Error, e, "has no name")
	a.addIf(seen[e.name], Error, e, "an earlier %s has the same name", e.kind)
	seen[e.name] = true
}

func (a *audit) checkRoutes(d *wharfroute.Document) {
	names := map[string]bool{}
	prefixes := map[[2]string]string{}
	services := map[string]bool{}
	for _, s := range d.Configuration.Services {
		services[s.Name] = true
	}
	for i := range d.Configuration.Routes {
		r := &d.Configuration.Routes[i]
		e := routeEntry(d, i)
		a.checkName(e, names)
		key := [2]string{r.Host, r.PathPrefix}
		if first, found := prefixes[key]; found {
			a.add(Error, e, "no request reaches it: route %q has the same host and prefix", first)
		} else {
			prefixes[key] = r.Name
		}
		a.checkMatch(e, r)
		a.checkTargets(e, r, services)
		a.checkAttempts(e, r)
		a.checkTimes(e, r)
		a.checkRegions(e, r, d.Configuration.Organisations)
	}
}

// checkMatch reports a host or prefix that no request has. Requests are matched by their host without the port, and by
// prefixes of their path that end with a slash.
func (a *audit) checkMatch(e entry, r *wharfroute.Route) {
	_, port, err := net.SplitHostPort(r.Host)
	a.addIf(r.Host == "", Error, e, "no request reaches it: it has no host")
	a.addIf(err == nil, Error, e, "no request reaches it: host %q has port %q", r.Host, port)
	valid := strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/") &&
		!strings.ContainsAny(r.PathPrefix, "?# ")
	a.addIf(!valid, Error, e, "no request reaches it: prefix %q must begin and end with / and be without ?, # and blanks",
		r.PathPrefix)
}

func (a *audit) checkTargets(e entry, r *wharfroute.Route, services map[string]bool) {
	total := 0.0
	seen := map[string]bool{}
	for _, t := range r.Targets {
		total += t.Weight
		a.addIf(t.Weight < 0, Error, e, "weight %v of service %q is negative", t.Weight, t.Service)
		a.addIf(!services[t.Service], Error, e, "service %q does not exist", t.Service)
		a.addIf(seen[t.Service], Warning, e, "service %q is listed twice", t.Service)
		seen[t.Service] = true
	}
	a.addIf(len(r.Targets) == 0, Error, e, "has no service")
	a.addIf(len(r.Targets) > 0 && total == 0, Error, e, "weights sum to 0: all requests go to service %q", targetName(r))
}

// targetName returns the name of the route's first service, or "".
func targetName(r *wharfroute.Route) string {
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// checkAttempts reports attempts and settings that the route's kind rules out. Batch items are repeatable, and the streams
// of a batch route are its items' outputs, so that its gap objective and resumption are not reported.
func (a *audit) checkAttempts(e entry, r *wharfroute.Route) {
	a.addIf(r.MaxAttempts < 0, Error, e, "maximum number of attempts %d is negative", r.MaxAttempts)
	if r.Kind == wharfroute.Batch {
		a.addIf(r.CompletionTarget == 0, Warning, e, "batch route without completion target: its items are always late")
		a.addIf(r.MaxWait == 0, Warning, e, "batch route without maximum wait: its items are never given up")
		return
	}
	a.addIf(r.CompletionTarget != 0, Warning, e, "completion target has no effect: not a batch route")
	a.addIf(r.MaxWait != 0, Warning, e, "maximum wait has no effect: not a batch route")
	a.addIf(r.MaxWaitingTokens != 0, Warning, e, "limit of waiting tokens has no effect: not a batch route")
	a.addIf(r.MaxAttempts > 1 && !r.Repeatable(), Warning, e, "%d attempts have no effect: its requests may not be repeated",
		r.MaxAttempts)
	a.addIf(r.Kind != wharfroute.Streaming && r.GapObjective != 0, Warning, e, "gap objective has no effect: no streaming route")
	a.addIf(r.Kind != wharfroute.Streaming && r.Resumable, Warning, e, "resumption has no effect: no streaming route")
}

func (a *audit) checkTimes(e entry, r *wharfroute.Route) {
	a.addIf(r.MaxWait > 0 && r.CompletionTarget > r.MaxWait, Warning, e,
		"completion target %v is longer than the maximum wait %v", r.CompletionTarget, r.MaxWait)
	if r.Kind == wharfroute.Batch || r.Timeout == 0 {
		return
	}
	a.addIf(r.Objective > r.Timeout, Warning, e, "objective %v is longer than the timeout %v", r.Objective, r.Timeout)
	a.addIf(r.GapObjective > r.Timeout, Warning, e, "gap objective %v is longer than the timeout %v", r.GapObjective, r.Timeout)
}

// checkRegions reports organisations none of whose requests the route can serve.
func (a *audit) checkRegions(e entry, r *wharfroute.Route, organisations []wharfroute.Organisation) {
	if r.Open {
		return
	}
	for i := range organisations {
		o := &organisations[i]
		common := wharfroute.Regions(r, o)
		a.addIf(common != nil && len(common) == 0, Warning, e, "refuses organisation %q: no allowed region in common", o.Name)
	}
}

func (a *audit) checkServices(d *wharfroute.Document) {
	names := map[string]bool{}
	used := map[string]bool{}
	for _, r := range d.Configuration.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for i := range d.Configuration.Services {
		s := &d.Configuration.Services[i]
		e := serviceEntry(d, i)
		a.checkName(e, names)
		a.addIf(!used[s.Name], Warning, e, "no route uses it")
		a.addIf(s.MaxConnections < 0, Error, e, "maximum number of connections %d is negative", s.MaxConnections)
		a.addIf(s.ColdPerSecond > 0 && s.ColdStart == 0, Warning, e,
			"limit for cold endpoints without the time that they are cold")
	}
}

// usesKeys reports whether any request needs a key. Questions about batch jobs always do.
func usesKeys(routes []wharfroute.Route) bool {
	for i := range routes {
		if !routes[i].Open || routes[i].Kind == wharfroute.Batch {
			return true
		}
	}
	return false
}

func (a *audit) checkOrganisations(d *wharfroute.Document) {
	names := map[string]bool{}
	holders := map[string]bool{}
	for _, k := range d.Keys {
		holders[k.Organisation] = true
	}
	keyed := usesKeys(d.Configuration.Routes)
	for i := range d.Configuration.Organisations {
		o := &d.Configuration.Organisations[i]
		e := organisationEntry(d, i)
		a.checkName(e, names)
		a.addIf(!holders[o.Name], Warning, e, "has no key")
		a.addIf(holders[o.Name] && !keyed, Warning, e, "its keys have no use: no route needs one")
		a.addIf(o.Rate < 0, Error, e, "rate %v is negative", o.Rate)
		a.addIf(o.Burst < 0, Error, e, "burst %v is negative", o.Burst)
		a.addIf(o.Rate > 0 && o.Burst >= 0 && o.Burst < 1, Warning, e, "burst %v of rate %v is below 1", o.Burst, o.Rate)
		a.addIf(o.Rate == 0 && o.Burst > 0, Warning, e, "burst %v has no effect: no rate", o.Burst)
	}
}

func (a *audit) checkKeys(d *wharfroute.Document) {
	organisations := map[string]bool{}
	for _, o := range d.Configuration.Organisations {
		organisations[o.Name] = true
	}
	holders := map[string]string{}
	for _, k := range d.Keys {
		e := entry{KindKey, keyName(k.Text), k.Line}
		a.addIf(k.Text == "", Error, e, "empty key: callers without a key are served as organisation %q", k.Organisation)
		a.addIf(!organisations[k.Organisation], Error, e, "organisation %q does not exist", k.Organisation)
		holder, held := holders[k.Text]
		a.addIf(held && holder != k.Organisation, Error, e, "organisations %q and %q hold the same key", holder, k.Organisation)
		a.addIf(held && holder == k.Organisation, Warning, e, "organisation %q lists it twice", holder)
		holders[k.Text] = k.Organisation
	}
}

// keyName returns a name for a key that does not disclose it.
func keyName(key string) string {
	return wharfconfig.Hash([]byte(key))[:keyNameLength]
}

func (a *audit) checkLimits(d *wharfroute.Document) {
	e := entry{kind: KindLimits, line: d.LimitsLine}
	l := d.Configuration.Limits
	a.addIf(l.HeaderBytes <= 0, Warning, e, "no limit of the header's size: the daemon's own limit is in force")
	a.addIf(l.BodyBytes <= 0, Warning, e, "no limit of the body's size: the daemon's default is in force")
	a.addIf(l.IdleTimeout <= 0, Warning, e, "no idle timeout: the daemon's default is in force")
	a.addIf(l.BodyBytes > 0 && int64(l.HeaderBytes) > l.BodyBytes, Warning, e,
		"header limit of %d bytes is above the body limit of %d bytes", l.HeaderBytes, l.BodyBytes)
}
