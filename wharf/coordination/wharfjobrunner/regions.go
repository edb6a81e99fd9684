package wharfjobrunner

import (
	"slices"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// regions returns the regions in which a job's items may run, nil for all.
func (r *Runner) regions(job *wharfjobstore.Job) []string {
	table := r.options.Table()
	if table == nil {
		return nil
	}
	route := routeOf(table, job)
	if route == nil {
		route = &wharfroute.Route{}
	}
	return wharfroute.Regions(route, table.Organisation(job.Organisation))
}

// mayHold returns those of the live hosts, this one included, that may have the bodies of a job's items: hosts in the regions
// in which the items may run, and in the region of the host that accepted the job. None may while the configuration is unknown.
func (r *Runner) mayHold(
	job *wharfjobstore.Job, alive []string, peers map[string]wharfgossip.Peer,
) []string {
	if r.options.Table() == nil {
		return nil
	}
	regions := r.regions(job)
	if regions == nil {
		return alive
	}
	if job.Region != "" {
		regions = append(slices.Clone(regions), job.Region)
	}
	return slices.DeleteFunc(slices.Clone(alive), func(host string) bool {
		zone := peers[host].Zone
		if host == r.options.Host {
			zone = r.options.Zone
		}
		return !r.options.Regions.Allows(zone, regions)
	})
}
