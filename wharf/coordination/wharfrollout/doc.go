// Package wharfrollout brings accepted configurations into force on every host.
package wharfrollout
