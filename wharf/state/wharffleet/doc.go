// Package wharffleet tracks the registered endpoints and their load from all hosts, and picks the endpoint of each
// request.
//
// It serves two kinds of load: online requests, which come in bursts of a few seconds at nearly twice the usual rate,
// and batch items, which hold a slot many times as long. Engines start requests in order of arrival, so a request is
// placed only where a slot is free or held by a batch item that can be preempted.
package wharffleet
