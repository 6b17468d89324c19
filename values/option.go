package values

// Option is an optional value. The zero Option has no value.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an Option with a value.
func Some[T any](value T) Option[T] {
	return Option[T]{value: value, present: true}
}

// None returns the zero Option.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}

// OrElse returns the value, or the fallback if it is absent.
func (o Option[T]) OrElse(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}
