package scenario

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against a page that cites tests or scripts which do not exist, or no longer
// exist, as proof of a promise: in the rows of the promises, quoted names must be
// ginkgo nodes, names that begin with Test must be functions, and names with an
// underscore must be scripts or checks of the demo.
func TestProofNamesExist(t *testing.T) {
	var tests strings.Builder
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		tests.Write(b)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	demo, err := os.ReadFile("../demo/demo.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/proof.md")
	if err != nil {
		t.Fatal(err)
	}
	name := regexp.MustCompile("\"[^\"]+\"|`[A-Za-z]\\w*`")
	rows := regexp.MustCompile(`(?m)^\| P[1-9] .*$`).FindAllString(string(page), -1)
	if len(rows) != 9 {
		t.Errorf("the page has %d rows of promises, not 9", len(rows))
	}
	found := 0
	for _, row := range rows {
		column := strings.Split(row, "|")[3]
		for _, n := range name.FindAllString(column, -1) {
			bare := strings.Trim(n, "`\"")
			ok := true
			switch {
			case n[0] == '"':
				ok = regexp.MustCompile(`(It|Describe|DescribeTable)\("` + regexp.QuoteMeta(bare) + `"`).MatchString(tests.String())
			case strings.HasPrefix(bare, "Test"):
				ok = strings.Contains(tests.String(), "func "+bare+"(")
			case strings.Contains(bare, "_"):
				_, err := os.Stat(filepath.Join("testdata", bare+".txtar"))
				ok = err == nil || strings.Contains(string(demo), `"`+bare+`"`)
			default:
				continue
			}
			found++
			if !ok {
				t.Errorf("%s names %s, which does not exist", row[:4], n)
			}
		}
	}
	if found < 20 {
		t.Errorf("only %d names were found on the page", found)
	}
}
