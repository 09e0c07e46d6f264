// Package operators checks that the operators' pages list exactly the metrics
// and flags that the code defines.
package operators

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const repositoryRoot = "../.."

// goSourceFiles returns the paths of all Go files under the folders, at any
// depth, except test files. The folders are relative to the repository's root.
func goSourceFiles(t *testing.T, folders ...string) []string {
	t.Helper()
	var files []string
	for _, folder := range folders {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, _ fs.DirEntry, err error) error {
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				files = append(files, path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// tableRows reads the table rows of one section of the page, from the heading to
// the next heading of level 2. Only rows whose first cell starts with a backquote
// count. The result maps the first cell, without backquotes, to the other cells.
func tableRows(t *testing.T, page, heading string) map[string][]string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut("\n"+string(text), "\n"+heading+"\n")
	if !found {
		t.Fatalf("%s has no heading %q", page, heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	cellsByName := map[string][]string{}
	for line := range strings.Lines(section) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), " | ")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		cellsByName[strings.Trim(cells[0], "`")] = cells[1:]
	}
	return cellsByName
}

// metricName matches the names of this project's metrics, wherever a source file
// has them, comments included.
var metricName = regexp.MustCompile(`parsleyramp_[a-z0-9_]+`)

func TestMetricsPageListsEveryMetric(t *testing.T) {
	listed := tableRows(t, "metrics.md", "# Metrics")
	defined := map[string]bool{}
	for _, file := range goSourceFiles(t, "internal", "cmd") {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range metricName.FindAllString(string(text), -1) {
			defined[name] = true
		}
	}
	for name := range defined {
		if listed[name] == nil {
			t.Errorf("metrics.md does not list %s, which the code has", name)
		}
	}
	for name, cells := range listed {
		if !defined[name] {
			t.Errorf("metrics.md lists %s, which the code does not have", name)
		}
		if (cells[0] == "counter") != strings.HasSuffix(name, "_total") {
			t.Errorf("%s is listed as a %s; want the suffix _total on every counter and on no other metric", name, cells[0])
		}
	}
}

// flagMethods are the methods of flag.FlagSet that define a flag of a built-in type
// or a duration. Each has a variant with the suffix Var. Func, BoolFunc and TextVar
// are not recognized.
var flagMethods = []string{"String", "Bool", "Int", "Int64", "Uint", "Uint64", "Float64", "Duration"}

// flagUsages returns the usage text of every flag that the files define, by the
// name of the flag.
func flagUsages(t *testing.T, files []string) map[string]string {
	t.Helper()
	usages := map[string]string{}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				if name, usage, ok := flagDefinition(call); ok {
					usages[name] = usage
				}
			}
			return true
		})
	}
	return usages
}

// flagDefinition returns the name and usage text of the flag that the call defines.
// It recognizes a definition by the name of the method and at least three
// arguments, not by the type of the receiver. ok is false if the call is no such
// definition, or if the name or usage text is not a string literal.
func flagDefinition(call *ast.CallExpr) (name, usage string, ok bool) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) < 3 {
		return "", "", false
	}
	nameIndex := 0
	method, isVar := strings.CutSuffix(selector.Sel.Name, "Var")
	if isVar {
		nameIndex = 1
	}
	if method != "" && !slices.Contains(flagMethods, method) {
		return "", "", false
	}
	name, nameIsLiteral := stringLiteral(call.Args[nameIndex])
	usage, usageIsLiteral := stringLiteral(call.Args[len(call.Args)-1])
	return name, usage, nameIsLiteral && usageIsLiteral
}

// stringLiteral returns the value of e, and false if e is not a string literal.
func stringLiteral(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

func TestSettingsPageListsEveryFlag(t *testing.T) {
	for heading, folder := range map[string]string{
		"## Flags of parsleyramp-entry and parsleyramp-control": "internal/program",
		"## Flags of parsleyctl":                                "internal/ctl",
		"## Flags of parsleyload":                               "cmd/parsleyload",
		"## Flags of parsleyramp-standin":                       "cmd/parsleyramp-standin",
	} {
		listed := tableRows(t, "settings.md", heading)
		defined := flagUsages(t, goSourceFiles(t, folder))
		if len(defined) == 0 {
			t.Errorf("found no flag definitions in %s, want at least one", folder)
		}
		for name, usage := range defined {
			if cells := listed["-"+name]; len(cells) != 1 || cells[0] != usage {
				t.Errorf("under %q, settings.md must have the row\n| `-%s` | %s |", heading, name, usage)
			}
		}
		for name := range listed {
			if _, ok := defined[strings.TrimPrefix(name, "-")]; !ok {
				t.Errorf("under %q, settings.md lists %s, which %s does not define", heading, name, folder)
			}
		}
	}
}
