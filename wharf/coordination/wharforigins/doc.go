// Package wharforigins records in the store which service and version began a stream, while more than one is possible.
//
// A record is written when the first event of a stream arrives, and the event is held back until it is stored, but not for
// longer than a fraction of the pause that callers accept. A stream without a record can be continued only if a single
// version is possible (package wharfreleases); otherwise it is refused, since a stream joined from two versions looks whole.
package wharforigins
