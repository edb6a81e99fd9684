// Package wharfreleases tracks in the store which software versions of each service may have streams.
//
// A stream continues only at the version that began it, and a host that is asked to continue one may know nothing of its
// beginning: all hosts may have been killed in between. No host begins a stream at a version that has no row here, so that a
// host that reads a single row for a service, after it was asked, knows the version without any record of the stream.
package wharfreleases
