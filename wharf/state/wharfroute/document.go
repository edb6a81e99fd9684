package wharfroute

// Document is a configuration with what its text shows beyond the values in force. Lines are numbered from 1; 0 stands for
// an unknown line.
type Document struct {
	Configuration     Configuration
	VersionLine       int
	RouteLines        []int // by position in Configuration.Routes
	ServiceLines      []int
	OrganisationLines []int
	LimitsLine        int
	Keys              []DocumentKey // in the order of the text, also those that are listed more than once
	Unused            []UnusedValue
}

// DocumentKey is an API key with the organisation that lists it.
type DocumentKey struct {
	Text         string
	Organisation string
	Line         int
}

// UnusedValue is a value of a route or service that daemons ignore or replace.
type UnusedValue struct {
	Kind   string // of the entry, such as "route"
	Name   string // of the entry
	Line   int
	Reason string
}
