// Package wharfbundle reads and changes the bundle file of a deployment, which lives in version control.
package wharfbundle
