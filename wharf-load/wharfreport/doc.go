// Package wharfreport writes the results of experiments as JSON and as a page.
package wharfreport
