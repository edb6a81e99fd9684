package wharfstack

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"wagtailwharf.example/wharf/state/wharfconfig"
)

// writeBundle writes the initial configuration bundle, with one API key per organisation.
func (s *Stack) writeBundle() error {
	var text strings.Builder
	for _, zone := range s.Options.Zones {
		fmt.Fprintf(&text, "[[zone]]\nname = %q\nregion = %q\n\n", zone, s.Options.Region)
	}
	for _, o := range s.Options.Organisations {
		key := "wharf-" + rand.Text()
		s.Keys[o.Name] = key
		fmt.Fprintf(&text, "[[organisation]]\nname = %q\nrate = %v\nburst = %v\nweight = %v\n\n",
			o.Name, o.Rate, o.Burst, max(o.Weight, 1))
		fmt.Fprintf(&text, "[[key]]\nid = %q\norganisation = %q\nsha256 = %q\n\n",
			o.Name+"-1", o.Name, wharfconfig.Hash([]byte(key)))
	}
	fmt.Fprintf(&text, "[[service]]\nname = %q\nkind = \"model\"\nmodel-version = \"1\"\n\n", s.Options.Service)
	text.WriteString(ledgerService)
	for _, e := range s.Engines {
		fmt.Fprintf(&text, endpointFormat, e.Name, s.Options.Service, e.Zone, e.URL, s.Options.Slots)
	}
	for i := range s.Options.ExtraEndpoints {
		fmt.Fprintf(&text, endpointFormat, fmt.Sprint("extra-", i), s.Options.Service, s.Options.Zones[0],
			s.Engines[0].URL, s.Options.Slots)
	}
	for _, e := range s.Services {
		fmt.Fprintf(&text, endpointFormat, e.Name, "ledger", e.Zone, e.URL, s.Options.Slots)
	}
	return os.WriteFile(s.BundleFile, []byte(text.String()), fileMode)
}

const endpointFormat = "[[endpoint]]\nname = %q\nservice = %q\navailability-zone = %q\nurl = %q\nslots = %d\n\n"

const ledgerService = `[[service]]
name = "ledger"
kind = "plain"

[[service.route]]
path = "/public"
open = true
repeatable = true

[[service.route]]
path = "/read"
repeatable = true

[[service.route]]
path = "/entries"
repeatable = false

`

// description is the content of the file that WriteDescription writes.
type description struct {
	Callers   []entry           `json:"callers"`
	Operators []entry           `json:"operators"`
	Endpoints []entry           `json:"endpoints"`
	Services  []entry           `json:"services"`
	Platform  []entry           `json:"platform"`
	Keys      map[string]string `json:"keys"`
}

// entry describes one process in a description.
type entry struct {
	Name string `json:"host"`
	Zone string `json:"availability-zone,omitempty"`
	URL  string `json:"url"`
	PID  int    `json:"process-id"`
}

func entries(processes ...*Process) []entry {
	var list []entry
	for _, p := range processes {
		list = append(list, entry{Name: p.Name, Zone: p.Zone, URL: p.URL, PID: p.PID()})
	}
	return list
}

// WriteDescription writes the addresses and process IDs of all processes, and the API keys, to a JSON file.
func (s *Stack) WriteDescription(path string) error {
	operators := entries(s.Daemons...)
	for i, d := range s.Daemons {
		operators[i].URL = d.OperatorURL
	}
	data, err := json.MarshalIndent(description{
		Callers:   entries(s.Daemons...),
		Operators: operators,
		Endpoints: entries(s.Engines...),
		Services:  entries(s.Services...),
		Platform:  entries(s.Platform),
		Keys:      s.Keys,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), fileMode)
}
