package config

import (
	"encoding/json"
	"testing"
)

// Every key of the file is reported if it is missing, at any level.
func TestKeySetReportsEachMissingKey(t *testing.T) {
	var document any
	if err := json.Unmarshal([]byte(reloadedConfig), &document); err != nil {
		t.Fatal(err)
	}
	complete := newKeySet(document)
	keys := 0
	var removeEach func(v any)
	removeEach = func(v any) {
		switch v := v.(type) {
		case map[string]any:
			for key, x := range v {
				if key == "window" {
					continue // not all classes have a window
				}
				keys++
				delete(v, key)
				if complete.missing(newKeySet(document), "") == "" {
					t.Errorf("%s removed: no missing key, want it reported", key)
				}
				v[key] = x
				removeEach(x)
			}
		case []any:
			for _, x := range v {
				removeEach(x)
			}
		}
	}
	removeEach(document)
	if keys < 20 || complete.missing(newKeySet(document), "") != "" {
		t.Errorf("%d keys removed, want 20 or more and none missing at the end", keys)
	}
}
