// Package wharfsign implements "config sign", which signs a bundle file.
package wharfsign
