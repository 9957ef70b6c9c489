// Package spec defines the declarations that operators apply: availability
// zones, services, and workspaces with their guaranteed shapes.
//
// A Declarations value holds the content of one file. It is applied atomically
// and is immutable once parsed: hosts share one value between goroutines and
// replace it with the next revision.
package spec

import "time"

// Adjacency is the topology constraint of a gang: how close together its tasks
// must be placed.
type Adjacency string

// Spill is the spill rule of a service: where requests may be routed when
// their own availability zone has no endpoint for them.
type Spill string

// Declarations is the content of one declarations file.
type Declarations struct {
	TimeZone   string      `yaml:"timeZone" json:"timeZone"` // IANA name; determines the day boundaries of the report
	Zones      []Zone      `yaml:"zones" json:"zones"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	Services   []Service   `yaml:"services" json:"services"`
}

// Zone is an availability zone with its racks.
type Zone struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
	Racks  []Rack `yaml:"racks" json:"racks"`
}

// Rack is a group of identical workers behind one switch.
type Rack struct {
	Name         string `yaml:"name" json:"name"`
	Workers      int    `yaml:"workers" json:"workers"`
	Accelerators int    `yaml:"accelerators" json:"accelerators"` // per worker
	Cores        int    `yaml:"cores" json:"cores"`               // per worker
	MemoryGiB    int    `yaml:"memoryGiB" json:"memoryGiB"`       // per worker
}

// Shape describes a gang: the number of its identical tasks, their accelerators
// and how close together they must be placed.
type Shape struct {
	Tasks        int       `yaml:"tasks" json:"tasks"`               // 1 to MaxTasks
	Accelerators int       `yaml:"accelerators" json:"accelerators"` // per task, 0 to 8
	Adjacency    Adjacency `yaml:"adjacency" json:"adjacency"`
}

// Guarantee reserves capacity for Count gangs of one shape in one availability
// zone.
type Guarantee struct {
	Zone  string `yaml:"zone" json:"zone"`
	Shape Shape  `yaml:"shape" json:"shape"`
	Count int    `yaml:"count" json:"count"`
}

// ServiceUse permits a workspace to use a service and guarantees it a number of
// slots of the service in every availability zone.
type ServiceUse struct {
	Name  string `yaml:"name" json:"name"`
	Slots int    `yaml:"slots" json:"slots"`
}

// Workspace is a tenant of the fleet with its weight, quota and guarantees.
type Workspace struct {
	Name       string       `yaml:"name" json:"name"`
	Weight     int          `yaml:"weight" json:"weight"` // fair-share weight for capacity beyond the guarantees
	Quota      int          `yaml:"quota" json:"quota"`   // maximum number of accelerators in use per zone; zero for no limit
	Guarantees []Guarantee  `yaml:"guarantees" json:"guarantees"`
	Services   []ServiceUse `yaml:"services" json:"services"`
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name        string        `yaml:"name" json:"name"`
	Slots       int           `yaml:"slots" json:"slots"`             // number of requests that an endpoint processes at once
	Connections int           `yaml:"connections" json:"connections"` // maximum number per endpoint, over all entry hosts; at least Slots
	Repeatable  bool          `yaml:"repeatable" json:"repeatable"`   // whether a request may run twice, unless it says otherwise
	Spill       Spill         `yaml:"spill" json:"spill"`
	Timeout     time.Duration `yaml:"timeout" json:"timeout"` // of one request, unless it sets a shorter one
	MaxBody     int64         `yaml:"maxBody" json:"maxBody"` // size limit of a request body, bytes
}

// The adjacency constraints, strictest first.
const (
	SameWorker Adjacency = "worker"
	SameRack   Adjacency = "rack"
	SameZone   Adjacency = "zone"
)

// The spill rules: stay within the zone, spill within the region, or to any
// region.
const (
	SpillNone   Spill = "none"
	SpillRegion Spill = "region"
	SpillAny    Spill = "any"
)

// MaxTasks is the maximum number of tasks in a gang.
const MaxTasks = 32

// Zone returns the availability zone with the given name.
func (de *Declarations) Zone(name string) (Zone, bool) {
	for _, zn := range de.Zones {
		if zn.Name == name {
			return zn, true
		}
	}
	return Zone{}, false
}

// Workspace returns the workspace with the given name.
func (de *Declarations) Workspace(name string) (Workspace, bool) {
	for _, ws := range de.Workspaces {
		if ws.Name == name {
			return ws, true
		}
	}
	return Workspace{}, false
}

// Service returns the service with the given name.
func (de *Declarations) Service(name string) (Service, bool) {
	for _, sv := range de.Services {
		if sv.Name == name {
			return sv, true
		}
	}
	return Service{}, false
}

// Use returns the entry that permits ws to use a service, and whether there is
// one.
func (ws Workspace) Use(service string) (ServiceUse, bool) {
	for _, su := range ws.Services {
		if su.Name == service {
			return su, true
		}
	}
	return ServiceUse{}, false
}

// Total returns the number of accelerators of the whole gang.
func (sh Shape) Total() int { return sh.Tasks * sh.Accelerators }
