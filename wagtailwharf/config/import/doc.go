// Package wharfimport implements "config import", which applies a bundle that was exported from another deployment.
package wharfimport
