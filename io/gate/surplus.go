package gate

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy/io/link"
)

const (
	// maxSurplusBytes bounds the bytes after a response that are looked at. The transport reads no more ahead.
	maxSurplusBytes = 4 << 10
	// maxRecordedHeadBytes bounds the heads of a response, beyond which it is not known where its body begins.
	maxRecordedHeadBytes = 64 << 10
	// surplusWait is how long a connection is kept whose body may have been filled up with the beginning of another response.
	surplusWait = 50 * time.Millisecond
)

var (
	statusLine = regexp.MustCompile(`HTTP/\d\.\d \d\d\d`)
	headEnd    = []byte("\r\n\r\n")
)

// receipt records where the body of the response on a connection begins, and the last bytes that were read.
type receipt struct {
	mutex sync.Mutex
	// head holds what was read until the body began, and bodyAt is the offset of the body, or 0.
	head   []byte
	bodyAt int64
	total  int64
	last   []byte
	// awaited is set if the bytes after the body are looked at.
	awaited atomic.Bool
	// closed is closed once no more bytes are read.
	closed chan struct{}
}

// record records bytes that were read.
func (receipt *receipt) record(content []byte) {
	receipt.mutex.Lock()
	defer receipt.mutex.Unlock()
	receipt.total += int64(len(content))
	receipt.last = append(receipt.last, content...)
	receipt.last = receipt.last[max(0, len(receipt.last)-maxSurplusBytes):]
	if receipt.bodyAt > 0 || len(receipt.head) > maxRecordedHeadBytes {
		return
	}
	receipt.head = append(receipt.head, content...)
	for rest := receipt.head; ; {
		head, next, found := bytes.Cut(rest, headEnd)
		if !found {
			return
		}
		if rest = next; !bytes.HasPrefix(head, []byte("HTTP/1.1 1")) {
			receipt.bodyAt, receipt.head = int64(len(receipt.head)-len(rest)), nil
			return
		}
	}
}

// surplus returns bytes that were read after a body of a length.
func (receipt *receipt) surplus(length int64) []byte {
	receipt.mutex.Lock()
	defer receipt.mutex.Unlock()
	count := receipt.total - receipt.bodyAt - length
	if receipt.bodyAt == 0 || count <= 0 {
		return nil
	}
	return bytes.Clone(receipt.last[max(0, len(receipt.last)-int(count)):])
}

// isSuspect reports whether more bytes may show that the end of what was read belongs to another response.
func (receipt *receipt) isSuspect() bool {
	receipt.mutex.Lock()
	defer receipt.mutex.Unlock()
	return receipt.bodyAt > 0 && link.MayBeginHead(receipt.last[max(0, len(receipt.last)-int(receipt.total-receipt.bodyAt)):])
}

// fillsUp reports whether a complete body was filled up with the beginning of another response. It waits for what follows the body if
// that could show it.
func (receipt *receipt) fillsUp(body []byte) bool {
	if !link.MayBeginHead(body) {
		return false
	}
	select {
	case <-receipt.closed:
	case <-time.After(2 * surplusWait):
	}
	return containsResponse(body, receipt.surplus(int64(len(body))))
}

// containsResponse reports whether a body with a length was broken off and filled up with the beginning of another response, the rest
// of which is surplus. A copy that follows a whole body begins with its status line.
func containsResponse(body, surplus []byte) bool {
	rest := bytes.TrimLeft(surplus, "\r\n")
	isRest := len(rest) > 0 && !startsWithStatusLine(rest)
	joined := append(bytes.Clone(body), surplus...)
	for _, found := range statusLine.FindAllIndex(joined, -1) {
		start := found[0]
		if start >= len(body) {
			return false
		}
		head, _, isWhole := bytes.Cut(joined[start:], headEnd)
		end := start + len(head) + len(headEnd)
		if !isWhole && isRest || isWhole && isHead(head, func(response *http.Response) bool {
			// An informational response is followed by a status line, as a whole body is.
			isInformational := response.StatusCode < http.StatusOK && end == len(body) && len(rest) > 0
			// The empty line of the head may be divided.
			isDivided := end > len(body) && len(rest) < len(surplus)
			return isRest || isDivided || isInformational || end <= len(body) && response.ContentLength == int64(len(body))
		}) {
			return true
		}
	}
	return false
}

func startsWithStatusLine(content []byte) bool {
	found := statusLine.FindIndex(content)
	return found != nil && found[0] == 0
}

// isHead reports whether content is the head of a response that is accepted.
func isHead(content []byte, accepts func(response *http.Response) bool) bool {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(append(bytes.Clone(content), headEnd...))), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return accepts(response)
}
