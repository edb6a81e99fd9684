// Package wharftoml reads TOML files in which every key must be known.
package wharftoml
