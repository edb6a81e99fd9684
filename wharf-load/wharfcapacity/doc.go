// Package wharfcapacity simulates load on the request placement code, in virtual time and without a network, and
// reports the latencies and refusals that callers get. It uses the runtime's clock: inside a testing/synctest bubble,
// a simulated minute takes a few seconds.
package wharfcapacity
