// Package wharfshare implements one host's share of an organisation's token bucket.
//
// The shares of all hosts add up to the whole bucket. Each host refills its own share; a transfer moves tokens between
// hosts but never creates any. A host that is partitioned from the others continues with its own share.
package wharfshare
