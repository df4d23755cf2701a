package daemon

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuck is an output that does not take anything until it is released.
type stuck struct {
	release chan struct{}
	mutex   sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (stuck *stuck) Write(content []byte) (int, error) {
	<-stuck.release
	stuck.mutex.Lock()
	defer stuck.mutex.Unlock()
	return stuck.content.Write(content)
}

func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	output := &stuck{release: make(chan struct{})}
	lines := NewLineWriter(output)
	log := NewLog(lines)
	startedAt := time.Now()
	for number := range 3 * logLines {
		log.Info("line", "number", number)
	}
	is.True(time.Since(startedAt) < 5*time.Second)
	close(output.release)
	lines.Close()
	written := strings.Count(output.content.String(), `"message":"line"`)
	is.True(written >= logLines && written < 3*logLines)
	is.True(strings.Contains(output.content.String(), `"message":"log lines dropped"`))
}

func TestLogKeepsOrder(t *testing.T) {
	is := is.New(t)
	output := &stuck{release: make(chan struct{})}
	close(output.release)
	lines := NewLineWriter(output)
	log := NewLog(lines)
	log.Info("first")
	log.Info("second")
	lines.Close()
	first, second := strings.Index(output.content.String(), "first"), strings.Index(output.content.String(), "second")
	is.True(first >= 0 && first < second)
}
