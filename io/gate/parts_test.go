package gate

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lentilproxy/core/crash"
)

// Guards against a part of a prompt that crashes servers and is never found, since there are too many others before it.
func TestPartsOfLongPromptsAreCompared(t *testing.T) {
	const count = 3000
	texts := make([]string, count)
	for index := range texts {
		texts[index] = fmt.Sprint("text ", index)
	}
	list, err := json.Marshal(texts)
	is.New(t).NoErr(err)
	text, err := json.Marshal(strings.Join(texts, paragraphSeparator))
	is.New(t).NoErr(err)
	for name, test := range map[string]struct {
		fields map[string]json.RawMessage
		id     string
	}{
		"messages":   {map[string]json.RawMessage{"messages": list}, fmt.Sprintf("%q", texts[count-2])},
		"texts":      {map[string]json.RawMessage{"prompt": list}, fmt.Sprintf("%q", texts[count-2])},
		"paragraphs": {map[string]json.RawMessage{"prompt": text}, texts[count-2]},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			parts := requestParts("shop/a", "digest", test.fields)
			is.True(slices.Contains(parts, crash.PromptPart(test.id)))
		})
	}
}
