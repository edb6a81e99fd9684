// Package wharfsettings holds the settings file of the daemon.
package wharfsettings
