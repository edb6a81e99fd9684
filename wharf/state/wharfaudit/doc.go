// Package wharfaudit finds errors, entries without effect and contradictions in a configuration, and its differences from
// the version in force.
//
// Daemons accept most configurations and serve what they can of them, so that an operator's mistake shows only under
// traffic. The package finds such mistakes before a configuration is sent.
package wharfaudit
