// Package wharfcold decides which hosts may send requests to a cold endpoint and how many in any second.
//
// It serves the seconds after endpoints have started, or a zone of them has come back, under full traffic: a cold
// endpoint crashes well above its limit, and the limit is the sum over all hosts. Each host holds a fixed share of each
// endpoint, which follows from the names of the listed hosts alone, whether they are alive or not, so that hosts that
// are cut off from each other need not agree on anything at that moment.
package wharfcold
