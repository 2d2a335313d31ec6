package admin

import (
	"testing"

	"dunemoor/internal/testutil/compat"
)

func TestCompatPaths(t *testing.T) {
	compat.Values(t, "paths.txt", PathHealth, PathQuiesce, PathResume, PathStatus)
}
