package wharfdirectory

import (
	"time"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// Decoder reads the rows that hold the configuration and the endpoints.
type Decoder interface {
	// ConfigurationKey returns the table and key of the configuration row.
	ConfigurationKey() (table, key string)
	// EndpointTable returns the table of the endpoint rows.
	EndpointTable() string
	// Configuration decodes the value of the configuration row.
	Configuration(value []byte) (wharfroute.Configuration, error)
	// Endpoint decodes an endpoint row. It returns an error if the row describes no usable endpoint.
	Endpoint(row wharfrecords.Row) (wharffleet.Endpoint, error)
}

// View is an immutable snapshot of the configuration and the endpoints.
type View struct {
	Table     *wharfroute.Table // nil until a configuration is known
	Endpoints []wharffleet.Endpoint
}

// Snapshot is the configuration and the endpoints as a host sends them to a peer.
type Snapshot struct {
	Configuration        *wharfroute.Configuration
	ConfigurationVersion uint64 // store version up to which the configuration is known
	Endpoints            []wharffleet.Endpoint
	EndpointsVersion     uint64
	Age                  time.Duration      // time since the store confirmed the state
	Admitted             []wharfcall.Origin // versions at which streams may begin
	// Cold is how much longer each cold endpoint stays cold. A host of an older build sends none, and leaves TellsCold
	// unset.
	Cold      map[string]time.Duration
	TellsCold bool
}
