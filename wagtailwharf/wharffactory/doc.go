// Package wharffactory provides the dependencies of commands.
package wharffactory
