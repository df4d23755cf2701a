package serve

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"lentilproxy/core/spec"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// pieceReader is a reader that returns one piece at a time, and then an error.
type pieceReader struct {
	pending [][]byte
	end     error
}

// Read implements io.Reader.
func (pieceReader *pieceReader) Read(buffer []byte) (int, error) {
	if len(pieceReader.pending) == 0 {
		return 0, pieceReader.end
	}
	count := copy(buffer, pieceReader.pending[0])
	if pieceReader.pending[0] = pieceReader.pending[0][count:]; len(pieceReader.pending[0]) == 0 {
		pieceReader.pending = pieceReader.pending[1:]
	}
	return count, nil
}

// However a stream is split into pieces, the reader returns its complete events in order, and what follows the last one
// stays pending.
func TestEventReaderReturnsWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ending := rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, "ending")
		var stream, want bytes.Buffer
		for number := range rapid.IntRange(0, 12).Draw(t, "events") {
			event := fmt.Sprintf("id: %d%sdata: %s", number, ending[:len(ending)/2], rapid.StringMatching(`[a-z ]{0,40}`).Draw(t, "data"))
			stream.WriteString(event + ending)
			want.WriteString(event + ending)
		}
		partial := rapid.SampledFrom([]string{"", "id: 99\ndata: to"}).Draw(t, "torn")
		stream.WriteString(partial)
		source := &pieceReader{end: io.EOF}
		for rest := stream.Bytes(); len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			source.pending = append(source.pending, bytes.Clone(rest[:size]))
			rest = rest[size:]
		}
		eventReader := newEventReader(source)
		var got bytes.Buffer
		for {
			content, err := eventReader.next()
			if err != nil {
				break
			}
			got.Write(content)
		}
		if got.String() != want.String() {
			t.Fatalf("got %q, want %q", got.String(), want.String())
		}
		if string(eventReader.pending) != partial {
			t.Fatalf("pending %q", eventReader.pending)
		}
	})
}

func TestOversizedEventIsRejected(t *testing.T) {
	is := is.New(t)
	source := &pieceReader{end: io.EOF}
	for range maxEventBytes/1024 + 2 {
		source.pending = append(source.pending, bytes.Repeat([]byte("x"), 1024))
	}
	_, err := newEventReader(source).next()
	is.True(errors.Is(err, errEventTooLong))
}

func TestReceivedEventsAreDropped(t *testing.T) {
	for name, test := range map[string]struct {
		last    string
		resumed bool
		content string
		want    string
	}{
		"not resumed":  {"2", false, "id: 2\ndata: b\n\n", "id: 2\ndata: b\n\n"},
		"one again":    {"2", true, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", "id: 3\ndata: c\n\n"},
		"all again":    {"3", true, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", ""},
		"none":         {"2", true, "id: 3\ndata: c\n\n", "id: 3\ndata: c\n\n"},
		"without id":   {"2", true, "data: c\n\n", "data: c\n\n"},
		"not a number": {"x", true, "id: 2\ndata: b\n\n", "id: 2\ndata: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			call := &call{lastEvent: test.last, resumed: test.resumed}
			is.New(t).Equal(string(call.dropReceived([]byte(test.content))), test.want)
		})
	}
}

func TestTargetsAreChosenByWeight(t *testing.T) {
	is := is.New(t)
	targets := []spec.Target{{Service: "a", Weight: 900}, {Service: "b", Weight: 100}}
	counts := map[string]int{}
	for number := range 10_000 {
		counts[chooseTarget(targets, fmt.Sprint(number))]++
	}
	is.True(counts["b"] > 850 && counts["b"] < 1150)
	is.Equal(chooseTarget(targets, "same"), chooseTarget(targets, "same"))
	is.Equal(chooseTarget([]spec.Target{{Service: "only"}}, "x"), "only")
}

// A stream can be resumed after its last event only if that one has an ID.
func TestLastEventThatAStreamCanBeResumedAfter(t *testing.T) {
	for name, test := range map[string]struct {
		content string
		want    string
	}{
		"one":                 {"id: 4\ndata: a\n\n", "4"},
		"some":                {"id: 4\ndata: a\n\nid: 5\ndata: b\n\n", "5"},
		"last line":           {"data: a\r\nid: 4\r\n\r\n", "4"},
		"comment":             {": alive\n\n", "3"},
		"comment at the end":  {"id: 4\ndata: a\n\n: alive\n\n", "4"},
		"no ID":               {"data: a\n\n", ""},
		"no ID at the end":    {"id: 4\ndata: a\n\ndata: b\n\n", ""},
		"no ID at the start":  {"data: a\n\nid: 4\ndata: b\n\n", "4"},
		"ID in another event": {"data: id: 9\n\nid: 4\ndata: id: 9\n\n", "4"},
	} {
		t.Run(name, func(t *testing.T) {
			call := &call{lastEvent: "3"}
			call.recordLastEvent([]byte(test.content))
			is.New(t).Equal(call.lastEvent, test.want)
		})
	}
}
