package wharfhostsettings

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Region is the name of a region. In the settings it is the name, or the name in JSON as the platform renders it.
type Region string

// UnmarshalText reads a name, a JSON string or a JSON null, which stands for no region.
func (r *Region) UnmarshalText(text []byte) error {
	switch {
	case string(text) == "null":
		*r = ""
		return nil
	case !strings.HasPrefix(string(text), `"`):
		*r = Region(text)
		return nil
	}
	var name string
	if err := json.Unmarshal(text, &name); err != nil {
		return fmt.Errorf("region: %w", err)
	}
	*r = Region(name)
	return nil
}

// Zones maps availability zones to regions. In the settings it is a text with a JSON object.
type Zones map[string]string

// UnmarshalText reads a JSON object or null, or an empty text for no zones.
func (z *Zones) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	zones := map[string]string{}
	if err := json.Unmarshal(text, &zones); err != nil {
		return fmt.Errorf("zones: %w", err)
	}
	*z = zones
	return nil
}
