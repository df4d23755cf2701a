package conf

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lentilproxy/core/decl"
	"lentilproxy/core/value"
)

const sample = `
[workspace "shop"]
[adapter "shop/ribs"]
base_model = base
default_version = v1
[version "shop/ribs@v1"]
source = ribs/1
[route "orders"]
workspaces = shop
dedup_window = 24h
[backend_server "engine-1"]
address = 127.0.0.1:9000
data_centre = dc-1
base_model = base
slots = 4
[limit "shop"]
rate_tokens_per_second = 10
burst_tokens = 20
`

func parse(t *testing.T, text string) []Resource {
	t.Helper()
	file, faults := decl.Parse("test.ini", []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	resources, faults := ParseResources(file)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return resources
}

func TestCheck(t *testing.T) {
	base := NewState().Apply(Change{Revision: 1, Puts: parse(t, sample)})
	for _, test := range []struct {
		name, text, deletes, problem string
	}{
		{name: "valid", text: sample},
		{"unknown workspace", "[adapter \"x/a\"]\nbase_model = b\ndefault_version = v1\n[version \"x/a@v1\"]\nsource = s\n", "", `workspace "x" does not exist`},
		{"unknown version", "[adapter \"shop/a\"]\nbase_model = b\ndefault_version = v9\n", "", `version "shop/a@v9" does not exist`},
		{"unknown adapter", "[version \"shop/zzz@v1\"]\nsource = s\n", "", `adapter "shop/zzz" does not exist`},
		{"bad name", "[adapter \"ribs\"]\nbase_model = b\n", "", "the name must be workspace/adapter"},
		{"bad address", "[backend_server \"x\"]\naddress = host:1\ndata_centre = d\nbase_model = b\nslots = 1\n", "", `address "host:1" is not IP:port`},
		{"unknown route", "[backend_server \"x\"]\naddress = 127.0.0.1:1\ndata_centre = d\nservice = zzz\n", "", `route "zzz" does not exist`},
		{"missing dedup window", "[route \"x\"]\nworkspaces = shop\n", "", "needs dedup_window"},
		{"missing rate", "[limit \"shop\"]\nburst_tokens = 1\n", "", "rate_tokens_per_second must be positive"},
		{"workspace in use", "", "workspace/shop", "is in use by"},
		{"version in use", "", "version/shop/ribs@v1", "is in use by adapter/shop/ribs"},
		{"adapter in use", "", "adapter/shop/ribs", "is in use by version/shop/ribs@v1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			change := Change{Revision: 2, Puts: parse(t, test.text)}
			if kind, name, found := strings.Cut(test.deletes, "/"); found {
				change.Deletes = []Ref{{Kind(kind), name}}
			}
			problems := Check(base.Apply(change), change)
			if test.problem == "" {
				is.Equal(len(problems), 0)
				return
			}
			is.True(len(problems) > 0)
			is.True(strings.Contains(fmt.Sprint(problems), test.problem))
		})
	}
}

func TestParseFaults(t *testing.T) {
	is := is.New(t)
	file, faults := decl.Parse("bad.ini", []byte("[adapter \"a/b\"]\nsize = 1\n[thing \"x\"]\n[route]\n[route \"r\"]\ndedup_window = soon\nopen = maybe\n[limit \"l\"]\nburst_tokens = many\n"))
	is.Equal(len(faults), 0)
	_, faults = ParseResources(file)
	text := fmt.Sprint(faults)
	for _, fault := range []string{
		`bad.ini:2: adapter a/b: unknown key "size"`, `bad.ini:3: thing x: unknown kind "thing"`, `bad.ini:4: route: a name is missing`,
		`bad.ini:6: route r: dedup_window: "soon" is not a duration`, `bad.ini:7: route r: open: "maybe" is neither true nor false`,
		`bad.ini:9: limit l: burst_tokens: "many" is not a number`,
	} {
		is.True(strings.Contains(text, fault))
	}
}

// Applying changes in batches that repeat older changes yields the same state as applying each change once, and does
// not modify earlier states.
func TestApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := map[string]int64{}
		state := NewState()
		var log []Change
		var snapshots []*State
		var counts []int
		for revision := range int64(rapid.IntRange(1, 20).Draw(t, "changes")) {
			change := Change{Revision: revision + 1}
			for _, number := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 4).Draw(t, "puts") {
				name := fmt.Sprint("w", number)
				change.Puts = append(change.Puts, Resource{Kind: KindWorkspace, Name: name, Workspace: &Workspace{Weight: revision + 1}})
			}
			for _, number := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 2).Draw(t, "deletes") {
				change.Deletes = append(change.Deletes, Ref{KindWorkspace, fmt.Sprint("w", number)})
			}
			log = append(log, change)
			for _, put := range change.Puts {
				expected[put.Name] = revision + 1
			}
			for _, ref := range change.Deletes {
				delete(expected, ref.Name)
			}
			from := rapid.IntRange(0, len(log)-1).Draw(t, "repeat from")
			state = state.Apply(log[from:]...)
			snapshots, counts = append(snapshots, state), append(counts, len(expected))
		}
		found := map[string]int64{}
		for _, resource := range state.List(KindWorkspace) {
			found[resource.Name] = resource.Workspace.Weight
		}
		if !reflect.DeepEqual(found, expected) || state.Revision() != int64(len(log)) {
			t.Fatalf("state at revision %d contains %v, want %v", state.Revision(), found, expected)
		}
		for index, snapshot := range snapshots {
			if snapshot.Count(KindWorkspace) != counts[index] {
				t.Fatal("Apply modified an earlier state")
			}
		}
	})
}

// Any two quorums of one roster, or of two consecutive rosters, have a host in common.
func TestQuorumsIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) []Member {
			var members []Member
			for _, number := range rapid.SliceOfNDistinct(rapid.IntRange(0, 8), 1, 7, rapid.ID[int]).Draw(t, label) {
				members = append(members, Member{Name: fmt.Sprint(number)})
			}
			return members
		}
		old := &Roster{Members: draw("old"), Settled: true}
		change := &Roster{Members: draw("new"), Previous: old.Members}
		settled := &Roster{Members: change.Members, Settled: true}
		subset := func(label string) value.Set[string] {
			hosts := value.NewSet[string]()
			for number := range 9 {
				if rapid.Bool().Draw(t, label) {
					hosts.Add(fmt.Sprint(number))
				}
			}
			return hosts
		}
		first, second := subset("first"), subset("second")
		for _, pair := range [][2]*Roster{{old, old}, {old, change}, {change, change}, {change, settled}, {settled, settled}} {
			if pair[0].Quorum(first) && pair[1].Quorum(second) && !intersect(first, second) {
				t.Fatalf("%v of %+v and %v of %+v do not intersect", first, pair[0], second, pair[1])
			}
		}
	})
}

func intersect(first, second value.Set[string]) bool {
	for host := range first {
		if second.Has(host) {
			return true
		}
	}
	return false
}

func FuzzParseResources(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[adapter]\n[[\n=\n]x[\n[version \"\"]\nsource"))
	f.Fuzz(func(t *testing.T, content []byte) {
		file, faults := decl.Parse("fuzz.ini", content)
		if file == nil {
			if len(faults) == 0 {
				t.Fatal("a file that cannot be parsed has no fault")
			}
			return
		}
		resources, _ := ParseResources(file)
		change := Change{Revision: 1, Puts: resources}
		Check(NewState().Apply(change), change)
	})
}
