// Package wharfpace learns how fast endpoints generate, from the events of the answers that pass.
//
// It serves fleets whose endpoints differ in speed by a factor of two and more, under bursts that take most slots: an
// answer that is placed on a slow endpoint takes twice as long and holds its slot for as long. Endpoints that are alike
// are not distinguished, since running requests and short pauses change their paces as well.
package wharfpace
