// Package wharftoml decodes TOML files strictly: unknown keys are errors.
package wharftoml
