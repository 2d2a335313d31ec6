package config

import (
	"maps"
	"slices"
	"strings"
)

// keySet is the set of keys of a JSON value, without what they hold.
type keySet struct {
	keys   map[string]*keySet // of an object
	common *keySet            // keys that all objects of a list have; nil: it has none
	isList bool
}

// newKeySet returns the keys of a decoded value; null is no value.
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

// intersect returns the keys that two objects both have.
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

// missing returns a dotted key of s that o lacks, "" if there is none.
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
