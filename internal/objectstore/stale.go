package objectstore

// StaleLister is a Store that can list from a copy which may be seconds old, at a
// lower cost.
type StaleLister interface {
	ListStale(kind, after string, limit int) (Page, error)
}

// ListStale lists with ListStale where the store can, otherwise with List. The
// result serves where it is only shown, or where a later write is conditional.
func ListStale(s Store, kind, after string, limit int) (Page, error) {
	if stale, ok := s.(StaleLister); ok {
		return stale.ListStale(kind, after, limit)
	}
	return s.List(kind, after, limit)
}
