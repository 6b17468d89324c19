package rules

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const validRules = `region sierra link_mbit_per_s=300 # asked by Ana: links
service probador slots=7 connections=350 # asked by Ana: try-on
route overlay service=probador prefix=/overlay idempotent deadline=2s # asked by Ana: mirrors
workspace tiendas rate=400 burst=200 weight=4 # asked by Ana: shops
`

func TestParseFaults(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
	}{
		"empty file":           {"", "1:1: the file holds no rule"},
		"binary":               {"region a\x00b\n", "not a text"},
		"invalid UTF-8":        {"region \xff\xfe\n", "not valid UTF-8"},
		"too large":            {strings.Repeat("x", MaxFileBytes+1), "larger than 4 MiB"},
		"truncated line":       {validRules + "workspace x ra", "5:1: the last line has no line end"},
		"no comment":           {"region a link_mbit_per_s=3\n", "1:27: comment"},
		"comment without name": {"region a link_mbit_per_s=3 # because\n", "1:28: comment"},
		"unknown kind":         {"zone a # asked by Ana: x\n", "1:1: kind: unknown kind zone"},
		"duplicate name":       {validRules + "region sierra link_mbit_per_s=3 # asked by Ana: x\n", "5:8: name: region sierra is already declared on line 1"},
		"unknown region":       {validRules + "block b prefix=10.0.0.0/8 region=costa # asked by Ana: x\n", `5:27: region: there is no region "costa"`},
		"rate 0":               {"workspace w rate=0 burst=1 # asked by Ana: x\n", "1:13: rate"},
		"rate negative":        {"workspace w rate=-1 burst=1 # asked by Ana: x\n", "1:13: rate"},
		"rate 1e308":           {"workspace w rate=1e308 burst=1 # asked by Ana: x\n", "1:13: rate"},
		"rate NaN":             {"workspace w rate=NaN burst=1 # asked by Ana: x\n", "1:13: rate"},
		"rate infinite":        {"workspace w rate=Inf burst=1 # asked by Ana: x\n", "1:13: rate"},
		"duplicate field":      {"workspace w rate=1 rate=2 burst=1 # asked by Ana: x\n", "1:20: rate: the field is given twice"},
		"unknown field":        {"workspace w rate=1 burst=1 colour=2 # asked by Ana: x\n", "1:28: colour: a workspace rule has no such field"},
		"wrong unit":           {validRules + "route r service=probador prefix=/r once deadline=3h # asked by Ana: x\n", "5:41: deadline"},
		"once and idempotent":  {validRules + "route r service=probador prefix=/r once idempotent # asked by Ana: x\n", "5:1: mode"},
		"once and open":        {validRules + "route r service=probador prefix=/r once open # asked by Ana: x\n", "5:1: open"},
		"share above one":      {validRules + "shift s service=probador from=sierra to=sierra share=2 cap_per_min=0.1 # asked by Ana: x\n", "5:48: share"},
		"no name":              {"region # asked by Ana: x\n", "1:1: name: the rule has no name"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, faults := Parse([]byte(c.text))
			if !strings.Contains(faults.Error(), c.want) {
				t.Errorf("got %q, want %q", faults.Error(), c.want)
			}
		})
	}
}

func TestParseValidFiles(t *testing.T) {
	cases := map[string]string{
		"plain":     validRules,
		"CRLF":      strings.ReplaceAll(validRules, "\n", "\r\n"),
		"blanks":    "\n# a heading\n\n" + validRules,
		"villacres": exampleRules(t, "villacres"),
		"omaheke":   exampleRules(t, "omaheke"),
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			if _, faults := Parse([]byte(text)); len(faults) > 0 {
				t.Error(faults)
			}
		})
	}
}

func exampleRules(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile("../example/" + name + "/rules.txt")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestParseReportsAllFaults(t *testing.T) {
	_, faults := Parse([]byte("region a link_mbit_per_s=0\nzone b\nworkspace w rate=x burst=1 # asked by Ana: x\n"))
	if len(faults) != 5 {
		t.Errorf("got %d faults, want 5:\n%s", len(faults), faults.Error())
	}
}

func TestRouteLongestPrefix(t *testing.T) {
	parsed, faults := Parse([]byte(validRules + "route deep service=probador prefix=/overlay/deep idempotent # asked by Ana: x\n"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	cases := map[string]string{"/overlay": "overlay", "/overlay/1": "overlay", "/overlay/deep/1": "deep", "/overlays": "", "/": ""}
	for path, want := range cases {
		if got := Route(parsed, "probador", path).GetName(); got != want {
			t.Errorf("%s: got %q, want %q", path, got, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validRules))
	f.Add([]byte("workspace w rate=NaN # asked by"))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, faults := Parse(text)
		if (parsed == nil) == (len(faults) == 0) {
			t.Errorf("got both rules and faults, or neither")
		}
	})
}

func BenchmarkParse3000Lines(b *testing.B) {
	var text strings.Builder
	text.WriteString(validRules)
	for i := range 3000 {
		fmt.Fprintf(&text, "workspace w%d rate=%d burst=20 weight=2 # asked by Ana: load\n", i, i+1)
	}
	raw := []byte(text.String())
	for b.Loop() {
		if _, faults := Parse(raw); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}
