package scenario

import (
	"testing"

	"dunemoor/internal/testutil/compat"
)

// Every key that a scenario may have.
func TestCompatKeys(t *testing.T) {
	compat.Keys(t, "scenario-keys.txt", "toml", &file{})
}
