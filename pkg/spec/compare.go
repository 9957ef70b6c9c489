package spec

import (
	"fmt"
	"reflect"
)

type (
	// ChangeKind tells whether an object was added, removed or changed.
	ChangeKind string

	// ObjectKind is the kind of a declared object.
	ObjectKind string

	// Change is one difference between two Declarations values.
	Change struct {
		Kind   ChangeKind `json:"kind"`
		Object ObjectKind `json:"object"`
		Name   string     `json:"name"`
	}
)

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// The kinds of objects.
const (
	ObjectTimeZone  ObjectKind = "timeZone"
	ObjectZone      ObjectKind = "zone"
	ObjectWorkspace ObjectKind = "workspace"
	ObjectService   ObjectKind = "service"
)

// Compare returns the differences between the declarations in force and the
// next ones: for each kind of object, those of next in their order and then the
// removed ones. The order of objects within a file is not significant. A nil
// current stands for empty declarations.
func Compare(current, next *Declarations) []Change {
	if current == nil {
		current = &Declarations{}
	}
	var cs []Change
	if current.TimeZone != next.TimeZone {
		cs = append(cs, Change{Kind: ChangeChanged, Object: ObjectTimeZone, Name: next.TimeZone})
	}
	cs = append(cs, compareObjects(ObjectZone, current.Zones, next.Zones, func(zn Zone) string { return zn.Name })...)
	cs = append(cs, compareObjects(ObjectService, current.Services, next.Services, func(sv Service) string { return sv.Name })...)
	return append(cs, compareObjects(ObjectWorkspace, current.Workspaces, next.Workspaces, func(ws Workspace) string { return ws.Name })...)
}

// String returns the change as human-readable text, such as
// "changed zone sur-1".
func (cg Change) String() string {
	return fmt.Sprintf("%s %s %s", cg.Kind, cg.Object, cg.Name)
}

func compareObjects[T any](kind ObjectKind, current, next []T, nameOf func(T) string) []Change {
	var cs []Change
	old := make(map[string]T, len(current))
	for _, ob := range current {
		old[nameOf(ob)] = ob
	}
	for _, ob := range next {
		name := nameOf(ob)
		prev, found := old[name]
		delete(old, name)
		switch {
		case !found:
			cs = append(cs, Change{Kind: ChangeAdded, Object: kind, Name: name})
		case !equal(reflect.ValueOf(prev), reflect.ValueOf(ob)):
			cs = append(cs, Change{Kind: ChangeChanged, Object: kind, Name: name})
		}
	}
	for _, ob := range current {
		name := nameOf(ob)
		if _, removed := old[name]; removed {
			cs = append(cs, Change{Kind: ChangeRemoved, Object: kind, Name: name})
		}
	}
	return cs
}

// equal reports whether two values of one type are deeply equal. Unlike
// reflect.DeepEqual, it treats nil and empty slices as equal.
func equal(a, b reflect.Value) bool {
	switch a.Kind() {
	case reflect.Struct:
		for i := range a.NumField() {
			if !equal(a.Field(i), b.Field(i)) {
				return false
			}
		}
		return true
	case reflect.Slice:
		if a.Len() != b.Len() {
			return false
		}
		for i := range a.Len() {
			if !equal(a.Index(i), b.Index(i)) {
				return false
			}
		}
		return true
	default:
		return a.Equal(b)
	}
}
