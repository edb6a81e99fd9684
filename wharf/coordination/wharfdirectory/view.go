package wharfdirectory

import (
	"time"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfevacuation"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// Decoder reads the rows that hold the configuration and the endpoints.
type Decoder interface {
	// ConfigurationKey returns the table and key of the configuration row.
	ConfigurationKey() (table, key string)
	// EvacuatedZone returns the zone whose evacuation a row of the configuration's table requests, whatever the row's value.
	EvacuatedZone(key string) (zone string, found bool)
	// EndpointTable returns the table of the endpoint rows.
	EndpointTable() string
	// Configuration decodes the value of the configuration row.
	Configuration(value []byte) (wharfroute.Configuration, error)
	// Endpoint decodes an endpoint row. It returns an error if the row describes no usable endpoint.
	Endpoint(row wharfrecords.Row) (wharffleet.Endpoint, error)
}

// View is an immutable snapshot of the configuration and the endpoints.
type View struct {
	Table     *wharfroute.Table // nil until a configuration and the evacuated zones are known
	Endpoints []wharffleet.Endpoint
	// Evacuations is the set of evacuated zones, nil until it is known. It is known whenever Table is.
	Evacuations *wharfevacuation.Set
}

// Snapshot is the configuration and the endpoints as a host sends them to a peer.
type Snapshot struct {
	Configuration        *wharfroute.Configuration
	ConfigurationVersion uint64 // store version up to which the configuration is known
	Endpoints            []wharffleet.Endpoint
	EndpointsVersion     uint64
	Age                  time.Duration      // time since the store confirmed the state
	Admitted             []wharfcall.Origin // versions at which streams may begin
	// Cold is how much longer each cold endpoint stays cold. A host of an older build sends none, and leaves ReportsCold
	// unset.
	Cold        map[string]time.Duration
	ReportsCold bool
	// Written is the store version of each endpoint's row.
	Written map[string]uint64
	// Evacuations is the set of evacuated zones at ConfigurationVersion. It is nil in the snapshot of a host that does not
	// know it, and of a host of an older build.
	Evacuations *wharfevacuation.Set
}
