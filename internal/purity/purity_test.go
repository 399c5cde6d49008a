package purity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	module = "endivemoor.example/endivemoor/"
	root   = "../.."
)

// corePackages are the packages of the decision core. They may import only each other of this
// module.
var corePackages = []string{
	"ack", "admission", "audit", "catalog", "clock", "condition", "drain", "failover", "feature", "finding", "freshness", "gateways",
	"internal/guard", "leadership", "loadreport", "membership", "outcome", "outlier", "ownership", "partners", "placing", "profile",
	"profile/diff", "publication", "ratelimit", "recency", "request", "retry", "retryafter", "returning", "routing", "session", "statement", "store",
	"takeover", "target", "timeline", "view",
}

// bannedImports are standard packages that perform I/O or give access to the process's environment.
var bannedImports = []string{"net", "os", "log", "io/fs", "syscall", "math/rand", "runtime", "testing", "plugin"}

// allowedLibraries are libraries without side effects: hashing, tokens, errors.
var allowedLibraries = []string{
	"github.com/cespare/xxhash/v2", "github.com/dgryski/go-rendezvous",
	"github.com/golang-jwt/jwt/v5", "github.com/pkg/errors",
}

// bannedCalls read a clock, wait, or draw from the process's global randomness.
var bannedCalls = map[string][]string{
	"time":         {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
	"math/rand/v2": {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Float64", "Float32", "Perm", "Shuffle", "N", "NormFloat64", "ExpFloat64"},
	"crypto/rand":  {"Read", "Int", "Text", "Prime"},
}

func TestDecisionCoreDoesNoIO(t *testing.T) {
	var found []string
	for _, pkg := range corePackages {
		found = append(found, checkPackage(t, pkg)...)
	}
	require.Empty(t, found, "the decision core has side effects")
}

// Each rule must report a violation of it; a check that never fails proves nothing.
func TestEveryRuleReportsItsViolation(t *testing.T) {
	violations := map[string]string{
		"imports net/http":      `package p; import "net/http"; var _ http.Handler`,
		"imports os":            `package p; import "os"; var _ = os.Args`,
		"imports outside":       `package p; import "go.uber.org/zap"; var _ zap.Field`,
		"imports a driver":      `package p; import "endivemoor.example/endivemoor/control"; var _ control.Link`,
		"reads the clock":       `package p; import "time"; var _ = time.Now()`,
		"renamed clock":         `package p; import tm "time"; var _ = tm.Since(tm.Time{})`,
		"global randomness":     `package p; import "math/rand/v2"; var _ = rand.IntN(3)`,
		"starts a goroutine":    `package p; func f() { go f() }`,
		"imports math/rand (1)": `package p; import "math/rand"; var _ = rand.Int()`,
	}
	for name, src := range violations {
		file, err := parser.ParseFile(token.NewFileSet(), "p.go", src, 0)
		require.NoError(t, err)
		require.NotEmpty(t, checkFile("p.go", file), name)
	}
}

func checkPackage(t *testing.T, pkg string) []string {
	dir := filepath.Join(root, filepath.FromSlash(pkg))
	names, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	if _, err := os.Stat(dir); err != nil || len(names) == 0 {
		return []string{pkg + ": package not found; update corePackages"}
	}
	var found []string
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		found = append(found, checkFile(name, file)...)
	}
	return found
}

func checkFile(name string, file *ast.File) []string {
	var found []string
	local := map[string]string{}
	for _, imp := range file.Imports {
		path, _ := strconv.Unquote(imp.Path.Value)
		local[localName(imp, path)] = path
		if !importAllowed(path) {
			found = append(found, fmt.Sprintf("%s imports %s", name, path))
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			found = append(found, name+" starts a goroutine")
		case *ast.SelectorExpr:
			if id, ok := n.X.(*ast.Ident); ok && slices.Contains(bannedCalls[local[id.Name]], n.Sel.Name) {
				found = append(found, fmt.Sprintf("%s uses %s.%s", name, id.Name, n.Sel.Name))
			}
		}
		return true
	})
	return found
}

func localName(imp *ast.ImportSpec, path string) string {
	if imp.Name != nil {
		return imp.Name.Name
	}
	if path == "math/rand/v2" {
		return "rand"
	}
	return path[strings.LastIndex(path, "/")+1:]
}

func importAllowed(path string) bool {
	if own, ok := strings.CutPrefix(path, module); ok {
		return slices.Contains(corePackages, own)
	}
	if strings.Contains(strings.SplitN(path, "/", 2)[0], ".") {
		return slices.Contains(allowedLibraries, path)
	}
	for _, banned := range bannedImports {
		if path == banned || (banned != "math/rand" && strings.HasPrefix(path, banned+"/")) {
			return false
		}
	}
	return true
}
