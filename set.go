package figpier

// Set is an immutable set.
type Set[T comparable] struct {
	members map[T]struct{}
}

// NewSet returns a set of the given values.
func NewSet[T comparable](values ...T) Set[T] {
	s := Set[T]{members: make(map[T]struct{}, len(values))}
	for _, v := range values {
		s.members[v] = struct{}{}
	}
	return s
}

// Has reports whether the value is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s.members[v]
	return ok
}

// With returns a copy of the set with one value added.
func (s Set[T]) With(v T) Set[T] {
	return NewSet(append(s.Values(), v)...)
}

// Values returns the values in no fixed order.
func (s Set[T]) Values() []T {
	values := make([]T, 0, len(s.members))
	for v := range s.members {
		values = append(values, v)
	}
	return values
}
