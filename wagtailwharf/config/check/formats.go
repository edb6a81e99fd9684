package wharfcheck

import (
	"context"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"wagtailwharf.example/platform/wharfcatalog"
	"wagtailwharf.example/wagtailwharf/wharfbundle"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wharf/state/wharfaudit"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

const inForceHint = "give a valid configuration of the same format with --in-force"

// checkRoutes returns the findings for a JSON configuration, and whether it was compared with the version in force.
func checkRoutes(_ context.Context, options *Options, text []byte) ([]wharfaudit.Finding, bool, error) {
	document, err := wharfcatalog.New().Document(text)
	if err != nil {
		return []wharfaudit.Finding{problem(text, err.Error())}, false, nil
	}
	findings := wharfaudit.Configuration(document)
	if options.InForce == "" {
		return findings, false, nil
	}
	inForceText, err := read(options.InForce)
	if err != nil {
		return nil, false, err
	}
	inForce, err := wharfcatalog.New().Document(inForceText)
	if err != nil {
		return nil, false, wharfexit.New(wharfexit.Usage, err, inForceHint)
	}
	return append(findings, wharfaudit.Differences(document, inForce)...), true, nil
}

// checkBundle returns the findings for a bundle, and whether it was compared with the version in force.
func checkBundle(ctx context.Context, options *Options, text []byte) ([]wharfaudit.Finding, bool, error) {
	bundle, err := wharfconfig.Parse(text)
	if err != nil {
		return problems(text, err), false, nil
	}
	findings := wharfaudit.Bundle(bundle)
	inForceText, err := options.bundleInForce(ctx)
	if err != nil {
		return nil, false, err
	}
	if len(inForceText) > 0 {
		inForce, err := wharfconfig.Parse(inForceText)
		if err != nil {
			return nil, false, wharfexit.New(wharfexit.Usage, err, inForceHint)
		}
		findings = append(findings, wharfaudit.BundleDifferences(bundle, inForce)...)
	}
	for i := range findings {
		findings[i].Line = lineOf(text, findings[i].Kind, findings[i].Name)
	}
	return findings, len(inForceText) > 0, nil
}

// bundleInForce returns the text of the bundle in force. It is empty if there is none or none is asked for.
func (o *Options) bundleInForce(ctx context.Context) ([]byte, error) {
	if o.InForce != "" {
		return read(o.InForce)
	}
	if o.Client == nil {
		return nil, nil
	}
	var exported wharfoperator.ExportedConfiguration
	if err := o.Client.JSON(ctx, http.MethodGet, "/v1/config", nil, nil, &exported); err != nil {
		return nil, err
	}
	return exported.Text, nil
}

// problems returns a finding for each line of a bundle's validation error.
func problems(text []byte, err error) []wharfaudit.Finding {
	message := strings.TrimPrefix(err.Error(), wharfconfig.ErrInvalid.Error()+": ")
	var findings []wharfaudit.Finding
	for _, line := range strings.Split(message, "\n") {
		findings = append(findings, problem(text, line))
	}
	return findings
}

var (
	// entryPattern matches a validation error that names its entry.
	entryPattern = regexp.MustCompile(`^(availability zone|organisation|key|service|endpoint) ("(?:[^"\\]|\\.)*"):? (.*)$`)
	// linePattern matches the line number in a decoding error.
	linePattern = regexp.MustCompile(`\bline (\d+)`)
)

// problem returns the finding for an error message, with the line of the entry or the position that the message names.
func problem(text []byte, message string) wharfaudit.Finding {
	finding := wharfaudit.Finding{Severity: wharfaudit.Error, Kind: wharfaudit.KindConfiguration, Reason: message}
	if match := entryPattern.FindStringSubmatch(message); match != nil {
		if name, err := strconv.Unquote(match[2]); err == nil {
			finding.Kind, finding.Name, finding.Reason = match[1], name, match[3]
			finding.Line = lineOf(text, finding.Kind, finding.Name)
			return finding
		}
	}
	if match := linePattern.FindStringSubmatch(message); match != nil {
		finding.Line, _ = strconv.Atoi(match[1]) // 0 if it is too long
	}
	return finding
}

// lineOf returns the line of the bundle's last table for an entry, or 0. If two tables have the same name, the error is
// about the last one.
func lineOf(text []byte, kind, name string) int {
	header, field := kind, "name"
	switch kind {
	case wharfaudit.KindKey:
		field = "id"
	case wharfaudit.KindZone:
		header = "zone"
	}
	lines := wharfbundle.Lines(text, header, field, name)
	if len(lines) == 0 {
		return 0
	}
	return lines[len(lines)-1]
}
