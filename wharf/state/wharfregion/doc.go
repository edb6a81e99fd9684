// Package wharfregion says in which regions a request may run and its body may be held.
//
// It handles requests whose organisation or route is bound to regions, while hosts and endpoints of all regions serve one
// deployment: what is not known to be allowed is not used.
package wharfregion
