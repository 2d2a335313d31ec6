package discovery

import (
	"testing"

	"dunemoor/internal/testutil/compat"
)

// Every key of a list of hosts, from a service and from a file.
func TestCompatKeys(t *testing.T) {
	compat.Keys(t, "list-keys.txt", "json", &MemberList{})
	compat.Keys(t, "file-keys.txt", "json", &fileForm{})
}
