package crash

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxRowBytes is the size of a row that stores usually accept.
const maxRowBytes = 64 << 10

// longRequest returns a request with a number of parts of its own, some that all have, and one more, in any place of the prompt.
func longRequest(sent, own, common, place int, further string) Request {
	var parts []string
	for index := range own {
		parts = append(parts, fmt.Sprintf("own-%d-%d", sent, index))
	}
	for index := range common {
		parts = append(parts, fmt.Sprintf("common-%d", index))
	}
	return request(sent, slices.Insert(parts, min(place, len(parts)), further)...)
}

// Guards against a part that crashes servers without end, since it stands in prompts with more parts than are examined: there are others
// before it, all requests on a server have together too many, or those that always accompany it exceed what a block holds.
func TestPartsOfLongPromptsAreFound(t *testing.T) {
	// A head of the usual size holds 4,096 parts at most.
	for name, test := range map[string]struct{ own, common, sound int }{
		"a long prompt":                    {300, 1, 0},
		"the longest prompt":               {4094, 1, 0},
		"beside long sound prompts":        {300, 1, 40},
		"a long beginning in common":       {10, 400, 0},
		"the longest beginning in common":  {1, 4093, 0},
		"a beginning in common with sound": {1, 700, 20},
	} {
		for _, place := range []int{0, 255, 256, 280, 5000} {
			t.Run(fmt.Sprintf("%s, place %d", name, place), func(t *testing.T) {
				is := is.New(t)
				analyzer, list := NewAnalyzer(), NewBlocklist()
				for number := range CrashesToBlock {
					sent := 1000 * (number + 1)
					requests := []Request{longRequest(sent, test.own, test.common, place, "bad")}
					for index := range test.sound {
						requests = append(requests, longRequest(sent+index+1, 300, min(test.common, 90), place, "sound"))
					}
					crashed(sent+100, fmt.Sprint("s", number), requests...)(analyzer)
					survived(sent+200, "sound")(analyzer)
					for index := range min(test.common, 90) {
						survived(sent+200, fmt.Sprintf("common-%d", index))(analyzer)
					}
				}
				now := at(9000)
				for _, block := range analyzer.Decide(now, nil) {
					encoded, err := json.Marshal(block)
					is.NoErr(err)
					is.True(len(encoded) < maxRowBytes)
					var decoded Block
					is.NoErr(json.Unmarshal(encoded, &decoded))
					is.Equal(decoded, block)
					list.Add(now, decoded, now.Add(time.Minute))
				}
				_, refused := list.Refuses(now, longRequest(8000, test.own, test.common, place, "bad").Parts)
				is.True(refused)
				_, refused = list.Refuses(now, longRequest(8000, 300, min(test.common, 90), place, "sound").Parts)
				is.True(!refused)
				// Requests that have only the beginning in common may be sound.
				_, refused = list.Refuses(now, longRequest(8000, test.own, test.common, place, "further").Parts)
				is.True(!refused)
			})
		}
	}
}

// Guards against evidence on long prompts that takes too much memory.
func TestEvidenceOnLongPromptsStaysBounded(t *testing.T) {
	is := is.New(t)
	analyzer := NewAnalyzer()
	for number := range maxCrashes {
		crashed(10*number, fmt.Sprint("s", number), longRequest(10*number, maxCrashParts-2, 1, 0, "bad"))(analyzer)
		size := 0
		for _, known := range analyzer.crashes {
			size += known.size
		}
		is.True(size <= maxEvidenceParts+maxCrashParts)
	}
}
