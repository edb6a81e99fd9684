// Package wharfhistory implements "config history", which lists the accepted configurations.
package wharfhistory
