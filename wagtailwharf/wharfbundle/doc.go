// Package wharfbundle reads and edits the configuration bundle of a deployment, a TOML file under version control.
// Edits keep the rest of the text unchanged.
package wharfbundle
