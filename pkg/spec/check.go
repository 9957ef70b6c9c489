package spec

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/strict"
)

// checker validates decoded declarations and reports their faults to the
// document. Its methods that return a bool return false after reporting a fault.
type checker struct {
	doc *strict.Document
	de  *Declarations
}

// The limits of the values in a declarations file.
const (
	maxNameLength     = 63
	maxZones          = 64
	maxServices       = 1024
	maxWorkspaces     = 10_000
	maxRacks          = 256       // per zone
	maxWorkers        = 1024      // per rack
	maxAccelerators   = 8         // per worker
	maxCores          = 4096      // per worker
	maxMemoryGiB      = 64 * 1024 // per worker
	maxWeight         = 1_000_000
	maxQuota          = maxRacks * maxWorkers * maxAccelerators
	maxGuaranteeCount = maxQuota
	maxSlots          = 100_000 // per endpoint, and guaranteed per zone; also limits connections
	minTimeout        = time.Millisecond
	maxTimeout        = time.Hour
	maxMaxBody        = 1 << 30 // bytes
)

var (
	adjacencies = []Adjacency{SameWorker, SameRack, SameZone}
	spillRules  = []Spill{SpillNone, SpillRegion, SpillAny}
)

// ValidName reports whether a name consists of 1 to 63 lower-case letters,
// digits and hyphens, and begins and ends with a letter or digit.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	if name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	return !strings.ContainsFunc(name, invalidNameRune)
}

func invalidNameRune(ch rune) bool {
	return (ch < 'a' || ch > 'z') && (ch < '0' || ch > '9') && ch != '-'
}

func check(doc *strict.Document, de *Declarations) {
	ch := checker{doc: doc, de: de}
	ch.timeZone()
	if !ch.listSizes() {
		return
	}
	ch.zones()
	ch.services()
	ch.workspaces()
}

func (ch checker) timeZone() {
	const path = "$.timeZone"
	if !ch.required(strict.Root, "timeZone") {
		return
	}
	name := ch.de.TimeZone
	if name == "" || name == "Local" {
		ch.doc.Report(path, "time zone %q is not an IANA name, such as America/Lima", name)
		return
	}
	if _, err := time.LoadLocation(name); err != nil {
		ch.doc.Report(path, "unknown time zone %q", name)
	}
}

// listSizes checks the lengths of the lists. The other checks search one list
// for each element of another, so they only run on lists of limited length.
func (ch checker) listSizes() bool {
	valid := ch.within("$.zones", "the number of zones", len(ch.de.Zones), 1, maxZones)
	for i, zn := range ch.de.Zones {
		path := strict.Key(zonePath(i), "racks")
		valid = ch.within(path, "the number of racks", len(zn.Racks), 1, maxRacks) && valid
	}
	valid = ch.within("$.services", "the number of services", len(ch.de.Services), 0, maxServices) && valid
	return ch.within("$.workspaces", "the number of workspaces", len(ch.de.Workspaces), 0, maxWorkspaces) && valid
}

func (ch checker) zones() {
	seen := names{}
	for i, zn := range ch.de.Zones {
		path := zonePath(i)
		ch.name(path, "zone", zn.Name, seen)
		if ch.required(path, "region") && !ValidName(zn.Region) {
			ch.doc.Report(strict.Key(path, "region"), "region %q %s", zn.Region, nameRule)
		}
		ch.racks(path, zn)
	}
}

func (ch checker) racks(parent string, zn Zone) {
	path := strict.Key(parent, "racks")
	seen := names{}
	for i, rk := range zn.Racks {
		rackPath := strict.Index(path, i)
		ch.name(rackPath, "rack", rk.Name, seen)
		ch.field(rackPath, "workers", rk.Workers, 1, maxWorkers)
		ch.field(rackPath, "accelerators", rk.Accelerators, 0, maxAccelerators)
		ch.field(rackPath, "cores", rk.Cores, 1, maxCores)
		ch.field(rackPath, "memoryGiB", rk.MemoryGiB, 1, maxMemoryGiB)
	}
}

func (ch checker) services() {
	seen := names{}
	for i, sv := range ch.de.Services {
		path := servicePath(i)
		ch.name(path, "service", sv.Name, seen)
		slotsValid := ch.field(path, "slots", sv.Slots, 1, maxSlots)
		if ch.field(path, "connections", sv.Connections, 1, maxSlots) && slotsValid && sv.Connections < sv.Slots {
			ch.doc.Report(strict.Key(path, "connections"), "%d connections are fewer than the %d slots", sv.Connections, sv.Slots)
		}
		ch.required(path, "repeatable")
		oneOf(ch, strict.Key(path, "spill"), "spill", sv.Spill, spillRules)
		if sv.Timeout < minTimeout || sv.Timeout > maxTimeout {
			ch.doc.Report(strict.Key(path, "timeout"), "timeout must be between %v and %v", minTimeout, maxTimeout)
		}
		if sv.MaxBody < 0 || sv.MaxBody > maxMaxBody {
			ch.doc.Report(strict.Key(path, "maxBody"), "maxBody must be between 0 and %d", maxMaxBody)
		}
	}
}

func (ch checker) workspaces() {
	seen := names{}
	for i, ws := range ch.de.Workspaces {
		path := workspacePath(i)
		ch.name(path, "workspace", ws.Name, seen)
		ch.within(strict.Key(path, "weight"), "weight", ws.Weight, 1, maxWeight)
		if quotaPath := strict.Key(path, "quota"); ch.doc.Has(quotaPath) {
			ch.within(quotaPath, "quota", ws.Quota, 1, maxQuota)
		}
		valid := true
		for j, gu := range ws.Guarantees {
			valid = ch.guarantee(guaranteePath(path, j), gu) && valid
		}
		if valid && ws.Quota > 0 {
			ch.quota(path, ws)
		}
		ch.uses(strict.Key(path, "services"), ws.Services)
	}
}

// guarantee checks one guarantee of a workspace.
func (ch checker) guarantee(path string, gu Guarantee) bool {
	count := ch.field(path, "count", gu.Count, 1, maxGuaranteeCount)
	zone := ch.required(path, "zone")
	shape := ch.required(path, "shape")
	if !zone || !shape {
		return false
	}
	zn, known := ch.de.Zone(gu.Zone)
	if !known {
		ch.doc.Report(strict.Key(path, "zone"), "zone %q is not declared", gu.Zone)
	}
	shapePath := strict.Key(path, "shape")
	return ch.shape(shapePath, gu.Shape) && known && ch.fits(shapePath, zn, gu.Shape) && count
}

func (ch checker) shape(path string, sh Shape) bool {
	tasks := ch.field(path, "tasks", sh.Tasks, 1, MaxTasks)
	accelerators := ch.field(path, "accelerators", sh.Accelerators, 0, maxAccelerators)
	adjacency := oneOf(ch, strict.Key(path, "adjacency"), "adjacency", sh.Adjacency, adjacencies)
	return tasks && accelerators && adjacency
}

// fits checks that an idle zone has capacity for one gang of the shape.
func (ch checker) fits(path string, zn Zone, sh Shape) bool {
	if zn.Fits(sh) {
		return true
	}
	maxPerWorker := 0
	for _, rk := range zn.Racks {
		maxPerWorker = max(maxPerWorker, rk.Accelerators)
	}
	if sh.Accelerators > maxPerWorker {
		ch.doc.Report(strict.Key(path, "accelerators"), "%d accelerators per task are more than a worker of zone %s has (%d)", sh.Accelerators, zn.Name, maxPerWorker)
		return false
	}
	ch.doc.Report(path, "a gang of %d tasks with %d accelerators each does not fit one %s of zone %s", sh.Tasks, sh.Accelerators, sh.Adjacency, zn.Name)
	return false
}

// quota checks that the guarantees of a workspace don't exceed its quota.
func (ch checker) quota(path string, ws Workspace) {
	totals := make(map[string]int, len(ch.de.Zones))
	for i, gu := range ws.Guarantees {
		totals[gu.Zone] += gu.Count * gu.Shape.Total()
		if totals[gu.Zone] > ws.Quota {
			ch.doc.Report(guaranteePath(path, i), "the guarantees of workspace %s in zone %s need %d accelerators, more than its quota of %d", ws.Name, gu.Zone, totals[gu.Zone], ws.Quota)
			return
		}
	}
}

// uses checks the services that a workspace may use.
func (ch checker) uses(path string, uses []ServiceUse) {
	seen := names{}
	for i, su := range uses {
		usePath := strict.Index(path, i)
		ch.within(strict.Key(usePath, "slots"), "slots", su.Slots, 0, maxSlots)
		if !ch.required(usePath, "name") {
			continue
		}
		if _, known := ch.de.Service(su.Name); !known {
			ch.doc.Report(strict.Key(usePath, "name"), "service %q is not declared", su.Name)
		}
		if seen.add(su.Name) {
			ch.doc.Report(strict.Key(usePath, "name"), "service %q is listed twice", su.Name)
		}
	}
}

const nameRule = "must consist of 1 to 63 lower-case letters, digits and hyphens, and not begin or end with a hyphen"

// names is a set of the names of the objects of one kind that were checked.
type names map[string]bool

// add adds a name and reports whether it was present before.
func (na names) add(name string) bool {
	duplicate := na[name]
	na[name] = true
	return duplicate
}

// name checks the name of the object at path, whose kind is only used in
// messages. The set seen holds the names of the preceding objects of that kind.
func (ch checker) name(path, kind, name string, seen names) {
	if !ch.required(path, "name") {
		return
	}
	namePath := strict.Key(path, "name")
	if !ValidName(name) {
		ch.doc.Report(namePath, "%s name %q %s", kind, name, nameRule)
		return
	}
	if seen.add(name) {
		ch.doc.Report(namePath, "%s %q is declared twice", kind, name)
	}
}

// required checks that the mapping at path has a key.
func (ch checker) required(path, key string) bool {
	if ch.doc.Has(strict.Key(path, key)) {
		return true
	}
	ch.doc.Report(path, "%q is missing", key)
	return false
}

// field checks that a required integer field is present and within its limits.
func (ch checker) field(path, key string, value, least, most int) bool {
	return ch.required(path, key) && ch.within(strict.Key(path, key), key, value, least, most)
}

// within checks that a value, which messages call what, is within its limits.
func (ch checker) within(path, what string, value, least, most int) bool {
	if value >= least && value <= most {
		return true
	}
	ch.doc.Report(path, "%s must be between %d and %d", what, least, most)
	return false
}

// oneOf checks that a value, which messages call what, is one of the valid ones.
func oneOf[T ~string](ch checker, path, what string, value T, valid []T) bool {
	if slices.Contains(valid, value) {
		return true
	}
	texts := make([]string, len(valid))
	for i, vl := range valid {
		texts[i] = fmt.Sprint(vl)
	}
	ch.doc.Report(path, "%s %q must be one of %s", what, value, strings.Join(texts, ", "))
	return false
}
