// Package operators checks that the operators' pages list what the code has.
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

// sources returns the Go files under the folders that are no tests.
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

// rows returns the cells of every table row of the part of the page after the
// heading, by the first cell, which is in backquotes.
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
			t.Errorf("the page does not list %s", name)
		}
	}
	for name, cells := range listed {
		if !defined[name] {
			t.Errorf("the page lists %s, which the code does not have", name)
		}
		if (cells[0] == "counter") != strings.HasSuffix(name, "_total") {
			t.Errorf("%s is a %s; counters and they alone end in _total", name, cells[0])
		}
	}
}

// flagTypes are the methods of a flag.FlagSet that define a flag, without Var.
var flagMethods = []string{"String", "Bool", "Int", "Int64", "Uint", "Uint64", "Float64", "Duration"}

// flagsOf returns the usage of every flag that the files define.
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

// definedFlag returns the name and usage where the call defines a flag.
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
			t.Errorf("no flags found in %s", folder)
		}
		for name, usage := range defined {
			if cells := listed["-"+name]; len(cells) != 1 || cells[0] != usage {
				t.Errorf("under %q the page must have the row\n| `-%s` | %s |", heading, name, usage)
			}
		}
		for name := range listed {
			if _, ok := defined[strings.TrimPrefix(name, "-")]; !ok {
				t.Errorf("under %q the page lists %s, which %s does not define", heading, name, folder)
			}
		}
	}
}
