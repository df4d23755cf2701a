package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const secondHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n"

func hasID(response *http.Response) bool { return response.Header.Get("X-Id") != "" }

// Guards against a second response that is taken for a part of a body, and against bodies that are cut off
// because they contain something similar.
func TestSecondResponseEndsABody(t *testing.T) {
	for name, test := range map[string]struct {
		content, body string
		broken        bool
	}{
		"empty":                          {"", "", false},
		"body":                           {"body", "body", false},
		"second response":                {"body" + secondHead + "body", "body", true},
		"second response only":           {secondHead + "body", "", true},
		"older version":                  {"body" + strings.Replace(secondHead, "1.1", "1.0", 1), "body", true},
		"line feeds only":                {strings.ReplaceAll(secondHead, "\r", ""), strings.ReplaceAll(secondHead, "\r", ""), false},
		"folded header":                  {"bodyHTTP/1.1 200 OK\r\nA: b\r\n c\r\nX-Id: a\r\n\r\n", "body", true},
		"head of several kilobytes":      {"bodyHTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 5000) + "\r\nX-Id: a\r\n\r\n", "body", true},
		"status line that is sent again": {"bodyHTTP/1.1 200" + secondHead, "bodyHTTP/1.1 200", true},
		"status line at the end":         {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n", false},
		"long status line":               {"HTTP/1.1 200 " + strings.Repeat("a", 300) + "\r\nA: b", "HTTP/1.1 200 " + strings.Repeat("a", 300) + "\r\nA: b", false},
		"head that is cut off":           {"bodyHTTP/1.1 200 OK\r\nX-", "body", true},
		"status line without its end":    {"{\"a\":\"HTTP/1.1 200 OK\"}", "{\"a\":\"HTTP/1.1 200 OK\"}", false},
		"status line that is cut off":    {"bodyHTTP/1.1 20", "bodyHTTP/1.1 20", false},
		"request line":                   {"GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", false},
		"line of an access log":          {"\"GET / HTTP/1.1\" 200 7\r\n\r\n", "\"GET / HTTP/1.1\" 200 7\r\n\r\n", false},
		"response that names no request": {"HTTP/1.1 200 OK\r\nA: b\r\n\r\nc", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nc", false},
		"no header":                      {"HTTP/1.1 200 OK\r\nno header\r\n\r\nc", "HTTP/1.1 200 OK\r\nno header\r\n\r\nc", false},
		"after another one":              {"HTTP/1.1 200 OK\r\n\r\n" + secondHead, "HTTP/1.1 200 OK\r\n\r\n", true},
		"beginnings of status lines":     {"HHTHTTHTTPHTTP/HTTP/1HTTP/1.", "HHTHTTHTTPHTTP/HTTP/1HTTP/1.", false},
		"after beginnings":               {"HHTTP/" + secondHead, "HHTTP/", true},
		"long head": {
			"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 2*maxSecondHeadBytes), "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 2*maxSecondHeadBytes), false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, source := range []io.Reader{
				strings.NewReader(test.content), iotest.OneByteReader(strings.NewReader(test.content)), iotest.DataErrReader(strings.NewReader(test.content)),
			} {
				is := is.New(t)
				body, err := io.ReadAll(NewUnframedBody(source, hasID))
				is.Equal(string(body), test.body)
				is.Equal(errors.Is(err, ErrSecondResponse), test.broken)
				is.True(test.broken || err == nil)
			}
		})
	}
}

// Guards against the same however the bytes arrive, and whatever they are.
func TestBodiesInDrawnParts(t *testing.T) {
	fragments := []string{"H", "HT", "HTTP/1", "HTTP/1.1 ", "HTTP/1.1 200 OK\r\n", "\r\n", "\r\n\r\n", "A: b\r\n", "data: 1\n\n", "x", "\n"}
	rapid.Check(t, func(check *rapid.T) {
		first := strings.Join(rapid.SliceOfN(rapid.SampledFrom(fragments), 0, 12).Draw(check, "body"), "") + "."
		second := rapid.SampledFrom([]string{"", secondHead, secondHead + "more", secondHead + secondHead}).Draw(check, "second")
		if second == "" {
			// A body whose end looks like a head that is cut off counts as broken.
			first += "\r\n\r\n"
		}
		var parts []io.Reader
		for content := first + second; content != ""; {
			length := rapid.IntRange(1, len(content)).Draw(check, "part")
			parts = append(parts, strings.NewReader(content[:length]))
			content = content[length:]
		}
		body, err := io.ReadAll(NewUnframedBody(io.MultiReader(parts...), hasID))
		if !bytes.HasPrefix([]byte(first), body) {
			check.Fatalf("read %q of %q", body, first)
		}
		if second == "" && (err != nil || string(body) != first) {
			check.Fatalf("read %q of %q: %v", body, first, err)
		}
		if second != "" && !errors.Is(err, ErrSecondResponse) {
			check.Fatalf("read %q of %q: %v", body, first+second, err)
		}
	})
}

// Guards against bytes of a body that are held back although they cannot be a head: the events of a stream would be late.
func TestBodyIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	is.NoErr(near.SetDeadline(time.Now().Add(10 * time.Second)))
	body := NewUnframedBody(near, hasID)
	buffer := make([]byte, 64)
	for _, part := range []string{
		"data: 1\n\n", "data: HTTP/1.1 404 Not Found\n\n", "data: HTTP/1.1 404 x\r\n\r\n\r\n", "HTTP\n\n", "HTTP/1.1 200 a\r\nb\r\n\r\n",
		"data: HTTP/1.1 200 OK\r\ndata: A: b\r\n\r\n",
	} {
		go func() { write(far, part) }()
		var got []byte
		for len(got) < len(part) {
			count, err := body.Read(buffer)
			is.NoErr(err)
			got = append(got, buffer[:count]...)
		}
		is.Equal(string(got), part)
	}
}

// Guards against bodies whose reading takes much processor time since they look like many heads.
func TestBodyOfManyStatusLinesIsReadInTime(t *testing.T) {
	const length = 256 << 10
	for name, line := range map[string]string{
		"lines":      "HTTP/1.1 200 A:\r\n",
		"one line":   "HTTP/1.1 200",
		"headers":    "A: HTTP/1.1 200 OK\r\n",
		"line feeds": "HTTP/1.1 200\nA:\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			content := strings.Repeat(line, length/len(line)) + ".\r\n\r\n"
			startedAt := time.Now()
			got, err := io.ReadAll(NewUnframedBody(strings.NewReader(content), hasID))
			is.NoErr(err)
			is.Equal(string(got), content)
			is.True(time.Since(startedAt) < time.Second)
		})
	}
}
