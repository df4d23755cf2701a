package keys

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lentilproxy/core/conf"
)

func TestCheck(t *testing.T) {
	key, withdrawn := Format("one", "secret"), Format("two", "secret")
	state := conf.NewState().Apply(conf.Change{Revision: 1, Puts: []conf.Resource{
		{Kind: conf.KindKey, Name: "one", APIKey: &conf.Key{Workspace: "shop", Hash: Hash(key)}},
		{Kind: conf.KindKey, Name: "two", APIKey: &conf.Key{Workspace: "shop", Hash: Hash(withdrawn), Withdrawn: true}},
	}})
	for _, test := range []struct {
		presented string
		verdict   Verdict
	}{
		{key, Valid},
		{"", Missing},
		{withdrawn, Withdrawn},
		{Format("one", "wrong"), Unknown},
		{Format("three", "secret"), Unknown},
		{"secret", Unknown},
		{Prefix, Unknown},
		{key + strings.Repeat("x", MaxBytes), Unknown},
		{Format("two", "wrong"), Unknown},
	} {
		t.Run(test.presented, func(t *testing.T) {
			is := is.New(t)
			identifier, workspace, verdict := Check(state, test.presented)
			is.Equal(verdict, test.verdict)
			is.Equal(verdict == Valid, identifier == "one" && workspace == "shop")
		})
	}
	is := is.New(t)
	is.True(StillValid(state, "one", "shop"))
	is.True(!StillValid(state, "one", "stall"))
	is.True(!StillValid(state, "two", "shop"))
	is.True(!strings.Contains(Hash(key), "secret"))
}

func FuzzIdentifier(f *testing.F) {
	f.Add("lk_one_secret")
	f.Add("lk__")
	f.Fuzz(func(t *testing.T, presented string) {
		if _, _, verdict := Check(conf.NewState(), presented); verdict == Valid {
			t.Fatalf("%q is valid without any key", presented)
		}
	})
}
