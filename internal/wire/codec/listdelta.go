package codec

// maxListItems bounds the list that applyRuns builds, so that a short message can't ask for an endless one.
const maxListItems = 1 << 20

// listRun copies count items of a base list from an index on, and then adds items.
type listRun[T any] struct {
	from  int
	count int
	added []T
}

// diffList returns the runs that turn the base list into the next one. Items are equal if they have the same key.
func diffList[T any](base, next []T, key func(T) (string, error)) ([]listRun[T], error) {
	baseKeys, err := keysOf(base, key)
	if err != nil {
		return nil, err
	}
	nextKeys, err := keysOf(next, key)
	if err != nil {
		return nil, err
	}
	index := map[string]int{}
	for i, k := range baseKeys {
		index[k] = i
	}
	var runs []listRun[T]
	for i, k := range nextKeys {
		at, known := index[k]
		last := len(runs) - 1
		switch {
		case !known && last < 0:
			runs = append(runs, listRun[T]{added: next[i : i+1 : i+1]})
		case !known:
			runs[last].added = append(runs[last].added, next[i])
		case last >= 0 && runs[last].continues(baseKeys, k):
			runs[last].count++
		default:
			runs = append(runs, listRun[T]{from: at, count: 1})
		}
	}
	return runs, nil
}

func keysOf[T any](list []T, key func(T) (string, error)) ([]string, error) {
	keys := make([]string, 0, len(list))
	for _, item := range list {
		k, err := key(item)
		if err != nil {
			return nil, err
		}
		keys = append(keys, k)
	}
	return keys, nil
}

// continues reports whether the item after those that the run copies has the key.
func (r listRun[T]) continues(baseKeys []string, key string) bool {
	end := r.from + r.count
	return len(r.added) == 0 && end < len(baseKeys) && baseKeys[end] == key
}

// applyRuns returns the list that the runs make of the base list. It fails for runs beyond the base list, and if the result
// would have more than maxListItems items.
func applyRuns[T any](base []T, runs []listRun[T]) ([]T, error) {
	var next []T
	for _, r := range runs {
		if r.from < 0 || r.count < 0 || r.from > len(base)-r.count {
			return nil, Error.New("%d items from %d of a list of %d", r.count, r.from, len(base))
		}
		if len(next)+r.count+len(r.added) > maxListItems {
			return nil, Error.New("a list of more than %d items", maxListItems)
		}
		next = append(next, base[r.from:r.from+r.count]...)
		next = append(next, r.added...)
	}
	return next, nil
}
