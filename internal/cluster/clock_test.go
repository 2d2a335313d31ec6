package cluster

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The wall clock may jump by hours in either direction. This package and its subpackages therefore read it for
// display only, and compare times of the monotonic clock.
func TestPackagesDoNotReadWallClock(t *testing.T) {
	wallClock := map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "UTC": true, "Local": true, "Date": true, "ModTime": true}
	allowed := map[string]bool{
		"storage.go quarantine":         true, // timestamp in the name of a quarantine directory
		"failpoint/enabled.go WallTime": true, // used by the failpoint wall-clock only
	}
	reads := 0
	err := filepath.WalkDir(".", func(path string, d os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		for _, decl := range f.Decls {
			name := ""
			if fn, ok := decl.(*ast.FuncDecl); ok {
				name = fn.Name.Name
			}
			ast.Inspect(decl, func(n ast.Node) bool {
				s, ok := n.(*ast.SelectorExpr)
				if !ok || !wallClock[s.Sel.Name] {
					return true
				}
				reads++
				if !allowed[path+" "+name] {
					t.Errorf("%s: got a read of the wall clock in %s (%s), want none", set.Position(n.Pos()), name, s.Sel.Name)
				}
				return true
			})
		}
		return nil
	})
	if err != nil || reads == 0 {
		t.Errorf("got %d reads of the wall clock and error %v, want the allowed reads and no error", reads, err)
	}
}
