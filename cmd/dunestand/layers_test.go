package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const module = "dunestand"

// packageColumn matches the first column of the table of packages in CONTRIBUTING.md, and
// packageName matches a package in that column.
var (
	packageColumn = regexp.MustCompile("(?m)^\\| (`[^|]+`) \\|")
	packageName   = regexp.MustCompile("`([^`]+)`")
)

// documentedLayers returns the packages in the table of CONTRIBUTING.md, each with the number of
// its row, counted from the top.
func documentedLayers(t *testing.T, root string) map[string]int {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "CONTRIBUTING.md"))
	if err != nil {
		t.Fatal(err)
	}
	layers := map[string]int{}
	for row, column := range packageColumn.FindAllStringSubmatch(string(page), -1) {
		for _, name := range packageName.FindAllStringSubmatch(column[1], -1) {
			layers[name[1]] = row
		}
	}
	return layers
}

// layerOf returns the row of a package. A package without a row has that of its nearest parent.
func layerOf(layers map[string]int, name string) (row int, found bool) {
	for ; name != "."; name = filepath.Dir(name) {
		if row, found := layers[name]; found {
			return row, true
		}
	}
	return 0, false
}

// importsOf returns the packages of this module that a source file imports.
func importsOf(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var imports []string
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if name, ours := strings.CutPrefix(imported, module+"/"); ours {
			imports = append(imports, name)
		}
	}
	return imports
}

// A package imports only its own subpackages and packages in lower rows of the table in
// CONTRIBUTING.md, and every package is in the table. Tests, and the fakes themselves, are exempt
// from the order.
func TestImportsPointDownwards(t *testing.T) {
	root := filepath.Join("..", "..")
	layers := documentedLayers(t, root)
	checked := 0
	check := func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		importer := filepath.Dir(relative)
		row, found := layerOf(layers, importer)
		if !found {
			t.Errorf("%s is not in the table of CONTRIBUTING.md", importer)
		}
		for _, imported := range importsOf(t, path) {
			importedRow, found := layerOf(layers, imported)
			inside := imported == importer || strings.HasPrefix(imported, importer+"/")
			if !found || importedRow <= row && !inside && !strings.HasPrefix(importer, "internal/fake") {
				t.Errorf("%s imports %s, which is not in a lower row of the table", relative, imported)
			}
		}
		checked++
		return nil
	}
	for _, dir := range []string{"cmd", "node", "internal"} {
		if err := filepath.WalkDir(filepath.Join(root, dir), check); err != nil {
			t.Fatal(err)
		}
	}
	if checked < len(layers) {
		t.Fatalf("only %d files were found", checked)
	}
}
