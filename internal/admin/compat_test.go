package admin

import (
	"testing"

	"lynxspool/internal/testkit/compat"
)

func TestCompatPaths(t *testing.T) {
	compat.Values(t, "paths.txt", PathHealth, PathQuiesce, PathResume, PathStatus)
}
