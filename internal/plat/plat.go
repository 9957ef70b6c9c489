// Package plat reads and writes the platform's lists of live and draining hosts.
// There is one list, a value of the store, for each availability zone.
//
// A list may be stale: a listed host may be dead and a live one not listed yet,
// so users must check with the host itself.
package plat

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Kind is the kind of a listed host.
type Kind string

// State is the last known state of a listed host.
type State string

// Host is an entry of a list.
type Host struct {
	Name         string `json:"name"`
	Kind         Kind   `json:"kind"`
	Address      string `json:"address"` // IP:port of its HTTP interface
	State        State  `json:"state"`
	Rack         string `json:"rack,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"` // of a worker
	Service      string `json:"service,omitempty"`      // of an endpoint
}

// List is the host list of one availability zone.
type List struct {
	Zone  string `json:"zone"`
	Hosts []Host `json:"hosts"`
}

// Values of Kind and State.
const (
	KindWorker   Kind = "worker"
	KindEndpoint Kind = "endpoint"

	StateLive     State = "live"
	StateDraining State = "leaving"
)

const keyPrefix = "platform/hosts/"

// Key returns the key of an availability zone's list.
func Key(zone string) string { return keyPrefix + zone }

// Decode decodes a list from JSON. An empty value gives an empty list.
func Decode(value []byte) (List, error) {
	if len(value) == 0 {
		return List{}, nil
	}
	var li List
	if err := json.Unmarshal(value, &li); err != nil {
		return List{}, fmt.Errorf("decoding the platform's host list: %w", err)
	}
	return li, nil
}

// Encode encodes a list as JSON.
func (li List) Encode() ([]byte, error) { return json.Marshal(li) }

// ByKind returns the hosts of one kind, in the order of the list.
func (li List) ByKind(kind Kind) []Host {
	var hs []Host
	for _, ho := range li.Hosts {
		if ho.Kind == kind {
			hs = append(hs, ho)
		}
	}
	return hs
}

// With returns a copy of the list with ho added, replacing a host with the same
// name.
func (li List) With(ho Host) List {
	hs := make([]Host, 0, len(li.Hosts)+1)
	for _, old := range li.Hosts {
		if old.Name != ho.Name {
			hs = append(hs, old)
		}
	}
	return List{Zone: li.Zone, Hosts: append(hs, ho)}
}

// Without returns a copy of the list without the host with a name.
func (li List) Without(name string) List {
	hs := make([]Host, 0, len(li.Hosts))
	for _, ho := range li.Hosts {
		if ho.Name != name {
			hs = append(hs, ho)
		}
	}
	return List{Zone: li.Zone, Hosts: hs}
}

// Find returns the host with a name, and whether it is on the list.
func (li List) Find(name string) (Host, bool) {
	for _, ho := range li.Hosts {
		if ho.Name == name {
			return ho, true
		}
	}
	return Host{}, false
}

// Equal reports whether two lists have the same zone and the same hosts in the
// same order.
func (li List) Equal(other List) bool {
	return li.Zone == other.Zone && slices.Equal(li.Hosts, other.Hosts)
}
