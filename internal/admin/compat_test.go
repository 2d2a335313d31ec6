package admin

import (
	"testing"

	"dunemoor/internal/testkit/compat"
)

func TestCompatPaths(t *testing.T) {
	compat.Values(t, "paths.txt", PathHealth, PathQuiesce, PathResume, PathStatus)
}
