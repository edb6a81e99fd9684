// Package wharfsettings reads and validates the settings file of the daemon.
package wharfsettings
