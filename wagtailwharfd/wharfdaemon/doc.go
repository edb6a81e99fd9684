// Package wharfdaemon assembles the parts of one entry daemon and supervises them.
package wharfdaemon
