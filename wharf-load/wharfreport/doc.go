// Package wharfreport writes the results of experiments as JSON, as a Markdown page and as plots.
package wharfreport
