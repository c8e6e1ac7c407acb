package jsonc

// Each reads the objects of an optional list.
func Each[T any](o *Object, field string, read func(*Object) T) []T {
	var all []T
	for _, v := range o.List(field) {
		element := v.Object()
		all = append(all, read(element))
		element.Close()
	}
	return all
}
