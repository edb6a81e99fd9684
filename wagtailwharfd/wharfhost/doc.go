// Package wharfhost assembles the daemon that routes caller requests to endpoints and keeps its configuration, endpoint
// registrations and batch jobs in the platform's store.
package wharfhost
