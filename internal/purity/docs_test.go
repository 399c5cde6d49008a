package purity

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// checkedDocs are the pages whose names of Go files, tests and declarations must exist.
var checkedDocs = []string{"ARCHITECTURE.md", "PROOFS.md"}

var (
	docTest = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w+`)
	docFile = regexp.MustCompile("`(\\w+/[\\w/]+\\.go)`")
	docName = regexp.MustCompile("`([a-z]\\w*)\\.([A-Za-z]\\w*)")
)

// Failure guarded against: a rename in the code leaves a page that names a guard or a test which
// does not exist, so that nobody can find what holds a promise.
func TestDocsNameExistingCode(t *testing.T) {
	declared, tests := declarations(t, root)
	for _, page := range checkedDocs {
		text, err := os.ReadFile(filepath.Join(root, "docs", page))
		require.NoError(t, err)
		for _, name := range docTest.FindAllString(string(text), -1) {
			assert.True(t, tests[name], "%s names the test %s, which does not exist", page, name)
		}
		for _, m := range docFile.FindAllStringSubmatch(string(text), -1) {
			assert.FileExists(t, filepath.Join(root, m[1]), page)
		}
		for _, m := range docName.FindAllStringSubmatch(string(text), -1) {
			names, isPackage := declared[m[1]]
			if isPackage && m[2] != "go" {
				assert.True(t, names[m[2]], "%s names %s.%s, which is not declared", page, m[1], m[2])
			}
		}
	}
}

// declarations returns the names that each package declares, by the package's name, and all test
// functions of the repository.
func declarations(t *testing.T, root string) (declared map[string]map[string]bool, tests map[string]bool) {
	t.Helper()
	declared, tests = make(map[string]map[string]bool), make(map[string]bool)
	require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		pkg := strings.TrimSuffix(file.Name.Name, "_test")
		if declared[pkg] == nil {
			declared[pkg] = make(map[string]bool)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch x := n.(type) {
			case *ast.FuncDecl:
				declared[pkg][x.Name.Name] = true
				tests[x.Name.Name] = strings.HasSuffix(path, "_test.go") || tests[x.Name.Name]
			case *ast.TypeSpec:
				declared[pkg][x.Name.Name] = true
			case *ast.Field:
				for _, name := range x.Names {
					declared[pkg][name.Name] = true
				}
			case *ast.ValueSpec:
				for _, name := range x.Names {
					declared[pkg][name.Name] = true
				}
			}
			return true
		})
		return nil
	}))
	return declared, tests
}
