package testkit

import "reflect"

// ReachableElements counts the elements of all maps and slices that can be reached from v, also those between the length and
// the capacity of a slice. Each pointer and map is followed once. It shows whether a data structure grows, independent of the
// garbage collector. Nothing may change the elements meanwhile.
func ReachableElements(v any) int {
	return reachable(reflect.ValueOf(v), map[visit]bool{})
}

// visit is a pointer or map that was followed. The type tells a struct from its first field, which has the same address.
type visit struct {
	address uintptr
	of      reflect.Type
}

// reachable counts what is reachable from v and was not visited before.
func reachable(v reflect.Value, visited map[visit]bool) int {
	switch v.Kind() {
	case reflect.Pointer:
		if isVisited(v, visited) {
			return 0
		}
		return reachable(v.Elem(), visited)
	case reflect.Interface:
		return reachable(v.Elem(), visited)
	case reflect.Struct:
		n := 0
		for i := range v.NumField() {
			n += reachable(v.Field(i), visited)
		}
		return n
	case reflect.Map:
		if isVisited(v, visited) {
			return 0
		}
		n := v.Len()
		for r := v.MapRange(); r.Next(); {
			n += reachable(r.Key(), visited) + reachable(r.Value(), visited)
		}
		return n
	case reflect.Slice:
		return v.Cap() + reachableFromElements(v, visited)
	case reflect.Array:
		return reachableFromElements(v, visited)
	default: // a value that refers to nothing
		return 0
	}
}

// isVisited reports whether a pointer or map is nil or was followed before, and notes it.
func isVisited(v reflect.Value, visited map[visit]bool) bool {
	if v.IsNil() {
		return true
	}
	this := visit{address: v.Pointer(), of: v.Type()}
	before := visited[this]
	visited[this] = true
	return before
}

// reachableFromElements counts what can be reached from the elements of a slice or array.
func reachableFromElements(v reflect.Value, visited map[visit]bool) int {
	switch v.Type().Elem().Kind() {
	case reflect.Pointer, reflect.Interface, reflect.Struct, reflect.Map, reflect.Slice, reflect.Array:
	default: // elements that refer to nothing
		return 0
	}
	n := 0
	for i := range v.Len() {
		n += reachable(v.Index(i), visited)
	}
	return n
}
