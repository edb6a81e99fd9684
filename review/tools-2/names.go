package main

import (
	_ "embed"
	"encoding/json"
)

// The platform's names stand in a file of their own: only platform/ has them in its code.
//
//go:embed names.json
var namesFile []byte

// names holds the platform's names by ours.
var names = func() map[string]string {
	decoded := map[string]string{}
	if err := json.Unmarshal(namesFile, &decoded); err != nil {
		panic(err)
	}
	return decoded
}()

// wire returns the platform's name for one of ours.
func wire(name string) string {
	found, known := names[name]
	if !known {
		panic("no platform name for " + name)
	}
	return found
}
