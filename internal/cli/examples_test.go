package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/loader"
)

const (
	examplesDir  = "../../examples"
	settingsPage = "../../docs/operators/settings.md"
)

func exampleFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(examplesDir, "*.jsonc"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	return files
}

func TestExamplesAreValid(t *testing.T) {
	var out, errOut bytes.Buffer
	args := append([]string{"settings", "check"}, exampleFiles(t)...)
	if code := Run(args, &out, &errOut); code != exitOK {
		t.Errorf("settings check = %d:\n%s%s", code, out.String(), errOut.String())
	}
	for _, kind := range loader.Kind("").Values() {
		if want := ": " + kind + " settings are valid"; !strings.Contains(out.String(), want) {
			t.Errorf("there is no example of the kind %s", kind)
		}
	}
}

func TestExampleFleets(t *testing.T) {
	tests := []struct {
		file                                  string
		accounts, domains, engines, services  int
		classes, longClasses, notIdempotent   int
		exceptions, upstreamsIgnoringTheFence int
	}{
		{"riga.jsonc", 16, 3, 20, 3, 5, 1, 1, 2, 5},
		{"hungary.jsonc", 16, 4, 10, 4, 5, 1, 1, 1, 1},
	}
	for _, tt := range tests {
		file := filepath.Join(examplesDir, tt.file)
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		doc, findings := loader.DecodeConfiguration(file, data)
		if err := findings.Err(); err != nil {
			t.Fatal(err)
		}
		got := tt
		got.accounts, got.classes, got.exceptions = len(doc.Accounts), len(doc.Classes), len(doc.Exceptions)
		got.engines, got.services, got.longClasses, got.notIdempotent, got.upstreamsIgnoringTheFence = 0, 0, 0, 0, 0
		domains := map[string]bool{}
		for _, u := range doc.Upstreams {
			domains[u.Domain] = true
			switch {
			case u.Engine == nil:
				got.services++
			case !*u.ChecksFence:
				got.upstreamsIgnoringTheFence++
				fallthrough
			default:
				got.engines++
			}
		}
		got.domains = len(domains)
		for _, c := range doc.Classes {
			if c.Long != nil && *c.Long {
				got.longClasses++
			}
		}
		for _, r := range doc.Routes {
			if !r.Idempotent {
				got.notIdempotent++
			}
		}
		if got != tt {
			t.Errorf("%s holds %+v, want %+v", tt.file, got, tt)
		}
	}
}

// pageSections are the sections of the settings page and what each describes.
var pageSections = map[string]reflect.Type{
	"router":        reflect.TypeFor[loader.Router](),
	"platform":      reflect.TypeFor[loader.Platform](),
	"worker":        reflect.TypeFor[loader.Worker](),
	"service":       reflect.TypeFor[loader.Service](),
	"configuration": reflect.TypeFor[configurer.Document](),
	"load":          reflect.TypeFor[generator.Mix](),
	"a listener":    reflect.TypeFor[loader.Listener](),
	"an account":    reflect.TypeFor[configurer.AccountSettings](),
	"a class":       reflect.TypeFor[configurer.ClassSettings](),
	"a pool":        reflect.TypeFor[configurer.PoolSettings](),
	"an upstream":   reflect.TypeFor[configurer.UpstreamSettings](),
}

func hasSection(typ reflect.Type) bool {
	for _, t := range pageSections {
		if t == typ {
			return true
		}
	}
	return false
}

// settingsPaths returns the path of every setting below a type: "a.b" for
// objects, "a[].b" for arrays and "a.*.b" for maps. A type with a section of
// its own ends the path.
func settingsPaths(prefix string, typ reflect.Type) []string {
	if prefix != "" && hasSection(typ) {
		return []string{prefix}
	}
	switch typ.Kind() {
	case reflect.Pointer:
		return settingsPaths(prefix, typ.Elem())
	case reflect.Slice:
		if typ.Elem().Kind() == reflect.Struct {
			return settingsPaths(prefix+"[]", typ.Elem())
		}
	case reflect.Map:
		return settingsPaths(prefix+".*", typ.Elem())
	case reflect.Struct:
		if typ == reflect.TypeFor[time.Time]() || typ == reflect.TypeFor[loader.Secret]() {
			break
		}
		var paths []string
		for _, f := range reflect.VisibleFields(typ) {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if name != "" && f.IsExported() {
				paths = append(paths, settingsPaths(strings.TrimPrefix(prefix+"."+name, "."), f.Type)...)
			}
		}
		return paths
	}
	return []string{prefix}
}

// documentedPaths returns the settings in the first column of the tables under
// each heading of the page.
func documentedPaths(t *testing.T) map[string][]string {
	t.Helper()
	page, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	rowPattern := regexp.MustCompile("^\\| `([^`]+)` \\|")
	sections := map[string][]string{}
	section := ""
	for _, line := range strings.Split(string(page), "\n") {
		if heading, ok := strings.CutPrefix(line, "## "); ok {
			section = heading
		}
		if m := rowPattern.FindStringSubmatch(line); m != nil {
			sections[section] = append(sections[section], m[1])
		}
	}
	return sections
}

func TestSettingsPageNamesEverySetting(t *testing.T) {
	documented := documentedPaths(t)
	for section, typ := range pageSections {
		want := settingsPaths("", typ)
		for _, path := range want {
			if !slices.Contains(documented[section], path) {
				t.Errorf("section %q does not name %s", section, path)
			}
		}
		for _, path := range documented[section] {
			if !slices.Contains(want, path) {
				t.Errorf("section %q names %s, which does not exist", section, path)
			}
		}
	}
}

// TestRouterExampleShowsTheDefaults keeps the promise in the comment at the
// head of router-1.jsonc.
func TestRouterExampleShowsTheDefaults(t *testing.T) {
	got, findings := loader.LoadRouter(filepath.Join(examplesDir, "router-1.jsonc"))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	want := loader.DefaultRouter()
	if got.Limits != want.Limits || got.BalancerLag != want.BalancerLag || got.DrainLimit != want.DrainLimit ||
		got.Platform.Timeout != want.Platform.Timeout || got.Control != want.Control || got.Metrics != want.Metrics || got.Log != want.Log {
		t.Errorf("router-1.jsonc shows %+v, want the defaults %+v", got, want)
	}
}
