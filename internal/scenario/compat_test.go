package scenario

import (
	"testing"

	"dunemoor/internal/testkit/compat"
)

// Every key that a scenario may have.
func TestCompatKeys(t *testing.T) {
	compat.Keys(t, "scenario-keys.txt", "toml", &file{})
}
