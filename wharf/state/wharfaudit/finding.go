package wharfaudit

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity is the severity of a finding.
type Severity string

// Severities, from the most to the least severe.
const (
	Error      Severity = "error"      // an entry does not do what it says
	Warning    Severity = "warning"    // an entry has no effect, or is likely to be a mistake
	Difference Severity = "difference" // an entry differs from the version in force
)

// Kinds of entries.
const (
	KindConfiguration = "configuration"
	KindRoute         = "route"
	KindService       = "service"
	KindOrganisation  = "organisation"
	KindKey           = "key"
	KindLimits        = "limits"
	KindZone          = "availability zone"
	KindEndpoint      = "endpoint"
)

// Finding is one result of an audit.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     string   `json:"kind"` // of the entry
	Name     string   `json:"name"` // of the entry; of a key, the start of its SHA-256 or its ID
	Line     int      `json:"line"` // in the text, 0 if it is unknown or the text lacks the entry
	Reason   string   `json:"reason"`
}

// Sort orders findings by severity and line. Findings without a line come last.
func Sort(findings []Finding) {
	rank := map[Severity]int{Error: 0, Warning: 1, Difference: 2}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(rank[a.Severity], rank[b.Severity]), cmp.Compare(uint(a.Line-1), uint(b.Line-1)))
	})
}

// entry identifies the entry of a finding.
type entry struct {
	kind string
	name string
	line int
}

// audit collects findings.
type audit struct {
	findings []Finding
}

func (a *audit) add(severity Severity, e entry, format string, args ...any) {
	a.findings = append(a.findings, Finding{
		Severity: severity, Kind: e.kind, Name: e.name, Line: e.line, Reason: fmt.Sprintf(format, args...),
	})
}

// addIf adds a finding if the condition holds.
func (a *audit) addIf(condition bool, severity Severity, e entry, format string, args ...any) {
	if condition {
		a.add(severity, e, format, args...)
	}
}

// sorted returns the findings in order.
func (a *audit) sorted() []Finding {
	Sort(a.findings)
	return a.findings
}

// lineAt returns the line at an index, or 0 if it is not known.
func lineAt(lines []int, i int) int {
	if i < len(lines) {
		return lines[i]
	}
	return 0
}
