package daemon

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (blockedWriter *blockedWriter) Write(content []byte) (int, error) {
	<-blockedWriter.release
	blockedWriter.mutex.Lock()
	defer blockedWriter.mutex.Unlock()
	return blockedWriter.content.Write(content)
}

func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	output := &blockedWriter{release: make(chan struct{})}
	lines := NewLineWriter(output)
	log := NewLog(lines)
	startedAt := time.Now()
	for number := range 3 * logQueueSize {
		log.Info("line", "number", number)
	}
	is.True(time.Since(startedAt) < 5*time.Second)
	close(output.release)
	lines.Close()
	written := strings.Count(output.content.String(), `"message":"line"`)
	is.True(written >= logQueueSize && written < 3*logQueueSize)
	is.True(strings.Contains(output.content.String(), `"message":"log lines dropped"`))
}

func TestLogKeepsOrder(t *testing.T) {
	is := is.New(t)
	output := &blockedWriter{release: make(chan struct{})}
	close(output.release)
	lines := NewLineWriter(output)
	log := NewLog(lines)
	log.Info("first")
	log.Info("second")
	lines.Close()
	first, second := strings.Index(output.content.String(), "first"), strings.Index(output.content.String(), "second")
	is.True(first >= 0 && first < second)
}
