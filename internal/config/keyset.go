package config

import (
	"maps"
	"slices"
	"strings"
)

// keySet is the set of keys in a JSON value, including those of nested objects.
type keySet struct {
	keys   map[string]*keySet // keys of an object
	common *keySet            // keys that all objects of a list have; nil if the list has no objects
	isList bool
}

// newKeySet returns the keys of a decoded JSON value. A key whose value is null counts as absent.
func newKeySet(v any) *keySet {
	switch v := v.(type) {
	case map[string]any:
		s := &keySet{keys: make(map[string]*keySet, len(v))}
		for key, x := range v {
			if x != nil {
				s.keys[key] = newKeySet(x)
			}
		}
		return s
	case []any:
		s := &keySet{isList: true}
		for _, x := range v {
			entry := newKeySet(x)
			if entry.keys == nil {
				continue
			}
			if s.common == nil {
				s.common = entry
			} else {
				s.common = s.common.intersect(entry)
			}
		}
		return s
	}
	return &keySet{}
}

// intersect returns the keys that both objects have.
func (s *keySet) intersect(o *keySet) *keySet {
	both := &keySet{keys: map[string]*keySet{}}
	for key, x := range s.keys {
		if y := o.keys[key]; y != nil && x.keys != nil && y.keys != nil {
			both.keys[key] = x.intersect(y)
		} else if y != nil {
			both.keys[key] = x
		}
	}
	return both
}

// missing returns the dotted path of a key of s that o lacks, or "" if there is none. at is the path of s.
func (s *keySet) missing(o *keySet, at string) string {
	if s.isList && !o.isList {
		return at
	}
	if s.common != nil && o.common != nil {
		return s.common.missing(o.common, at+"[]")
	}
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		x, dotted := o.keys[key], strings.TrimPrefix(at+"."+key, ".")
		if x == nil {
			return dotted
		}
		if missing := s.keys[key].missing(x, dotted); missing != "" {
			return missing
		}
	}
	return ""
}
