package wharfaudit

import (
	"fmt"
	"reflect"
	"strings"
	"unicode"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// minRateRatio is the part of a rate below which lowering it is reported as a warning. Callers that use their whole rate
// then have more than half of their requests refused.
const minRateRatio = 0.5

// Differences returns how a routing configuration differs from the one in force.
func Differences(d, inForce *wharfroute.Document) []Finding {
	a := &audit{}
	after, before := d.Configuration, inForce.Configuration
	compare(a, Difference, before.Routes, after.Routes,
		func(r *wharfroute.Route, i int) entry { return entry{KindRoute, r.Name, lineAt(d.RouteLines, i)} })
	compare(a, Difference, before.Services, after.Services,
		func(s *wharfroute.Service, i int) entry { return entry{KindService, s.Name, lineAt(d.ServiceLines, i)} })
	rates := map[string]float64{}
	for _, o := range before.Organisations {
		rates[o.Name] = o.Rate
	}
	compare(a, Difference, before.Organisations, after.Organisations,
		func(o *wharfroute.Organisation, i int) entry {
			return entry{KindOrganisation, o.Name, lineAt(d.OrganisationLines, i)}
		})
	for i, o := range after.Organisations {
		a.checkLoweredRate(organisationEntry(d, i), rates[o.Name], o.Rate)
	}
	compare(a, Warning, heldKeys(inForce), heldKeys(d),
		func(k *heldKey, _ int) entry { return entry{KindKey, k.Name, k.line} })
	a.compareFields(entry{kind: KindLimits, line: d.LimitsLine}, &before.Limits, &after.Limits)
	e := entry{kind: KindConfiguration, line: d.VersionLine}
	switch {
	case after.Version > before.Version:
		a.add(Difference, e, "version %d, was %d", after.Version, before.Version)
	case after.Version < before.Version || len(a.findings) > 0:
		a.add(Error, e, "version %d is not newer than %d, which is in force: hosts ignore it", after.Version, before.Version)
	}
	return a.sorted()
}

// BundleDifferences returns how a bundle differs from the one in force. The findings have no lines.
func BundleDifferences(b, inForce *wharfconfig.Bundle) []Finding {
	a := &audit{}
	compare(a, Difference, inForce.Zones, b.Zones, func(z *wharfconfig.Zone, _ int) entry { return entry{KindZone, z.Name, 0} })
	compare(a, Difference, inForce.Organisations, b.Organisations,
		func(o *wharfconfig.Organisation, _ int) entry { return entry{KindOrganisation, o.Name, 0} })
	compare(a, Difference, inForce.Services, b.Services,
		func(s *wharfconfig.Service, _ int) entry { return entry{KindService, s.Name, 0} })
	compare(a, Difference, inForce.Endpoints, b.Endpoints,
		func(e *wharfconfig.Endpoint, _ int) entry { return entry{KindEndpoint, e.Name, 0} })
	compare(a, Warning, inForce.Keys, b.Keys, func(k *wharfconfig.Key, _ int) entry { return entry{KindKey, k.ID, 0} })
	rates := map[string]float64{}
	for _, o := range inForce.Organisations {
		rates[o.Name] = o.Rate
	}
	for _, o := range b.Organisations {
		a.checkLoweredRate(entry{KindOrganisation, o.Name, 0}, rates[o.Name], o.Rate)
	}
	hashes := map[string]string{}
	for _, k := range inForce.Keys {
		hashes[k.ID] = k.Hash
	}
	for _, k := range b.Keys {
		before, known := hashes[k.ID]
		a.addIf(known && before != k.Hash, Warning, entry{KindKey, k.ID, 0}, "replaced: callers with the old key are refused")
	}
	return a.sorted()
}

func (a *audit) checkLoweredRate(e entry, before, after float64) {
	a.addIf(before > 0 && after > 0 && after < minRateRatio*before, Warning, e, "rate is lowered from %v to %v", before, after)
}

// heldKey is a key under the name that findings use.
type heldKey struct {
	Name         string
	Organisation string
	line         int
}

func heldKeys(d *wharfroute.Document) []heldKey {
	var keys []heldKey
	for _, k := range d.Keys {
		keys = append(keys, heldKey{Name: keyName(k.Text), Organisation: k.Organisation, line: k.Line})
	}
	return keys
}

// compare reports entries that were added, changed or removed, the latter with the given severity. identify returns the
// entry at an index of after.
func compare[T any](a *audit, removed Severity, before, after []T, identify func(*T, int) entry) {
	old := map[string]*T{}
	for i := range before {
		old[identify(&before[i], i).name] = &before[i]
	}
	kept := map[string]bool{}
	for i := range after {
		e := identify(&after[i], i)
		kept[e.name] = true
		if previous := old[e.name]; previous != nil {
			a.compareFields(e, previous, &after[i])
			continue
		}
		a.add(Difference, e, "added")
	}
	for i := range before {
		e := identify(&before[i], i)
		e.line = 0 // the line is one of the version in force
		if !kept[e.name] {
			a.add(removed, e, "removed")
		}
	}
}

// compareFields reports the exported fields in which two structs of the same type differ, given by pointers.
func (a *audit) compareFields(e entry, before, after any) {
	b, c := reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem()
	var changes []string
	for i := range b.NumField() {
		field := b.Type().Field(i)
		if !field.IsExported() || equal(b.Field(i), c.Field(i)) {
			continue
		}
		changes = append(changes, fmt.Sprintf("%s %s, was %s", fieldName(field), text(c.Field(i)), text(b.Field(i))))
	}
	a.addIf(len(changes) > 0, Difference, e, "changed: %s", strings.Join(changes, "; "))
}

// equal reports whether two values are equal. Nil and empty slices are.
func equal(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// text formats the value of a field.
func text(value reflect.Value) string {
	if kind, ok := value.Interface().(wharfroute.Kind); ok {
		names := map[wharfroute.Kind]string{
			wharfroute.Idempotent: "idempotent", wharfroute.AtMostOnce: "at-most-once",
			wharfroute.Streaming: "streaming", wharfroute.Batch: "batch",
		}
		return names[kind]
	}
	return fmt.Sprintf("%v", value.Interface())
}

// fieldName returns the TOML key of a field, or else its name in kebab case.
func fieldName(field reflect.StructField) string {
	if key := field.Tag.Get("toml"); key != "" {
		return key
	}
	var name strings.Builder
	for i, c := range field.Name {
		if i > 0 && unicode.IsUpper(c) {
			name.WriteByte('-')
		}
		name.WriteRune(unicode.ToLower(c))
	}
	return name.String()
}
