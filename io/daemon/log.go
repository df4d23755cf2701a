package daemon

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"
)

const (
	// logQueueSize is the number of lines that may wait to be written. Further ones are dropped and counted.
	logQueueSize = 4096
	// logBatchBytes is the size from which on a batch of lines is written.
	logBatchBytes = 32 << 10
)

// LineWriter writes lines to an output in the background, so that Write never blocks.
type LineWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewLineWriter returns a writer of lines to an output.
func NewLineWriter(output io.Writer) *LineWriter {
	writer := &LineWriter{output: output, lines: make(chan []byte, logQueueSize), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(writer.done)
		for {
			select {
			case line := <-writer.lines:
				writer.flush(line)
			case <-writer.stop:
				writer.flush(nil)
				return
			}
		}
	}()
	return writer
}

// flush writes a line and all queued ones.
func (writer *LineWriter) flush(batch []byte) {
	for {
		select {
		case line := <-writer.lines:
			batch = append(batch, line...)
			if len(batch) < logBatchBytes {
				continue
			}
		default:
			if dropped := writer.dropped.Swap(0); dropped > 0 {
				batch = fmt.Appendf(batch, "{\"level\":\"info\",\"time\":%d,\"message\":\"log lines dropped\",\"lines\":%d}\n", time.Now().UnixMilli(), dropped)
			}
			// If the output is closed, the error cannot be reported.
			_, _ = writer.output.Write(batch)
			return
		}
		_, _ = writer.output.Write(batch)
		batch = batch[:0]
	}
}

// Write implements io.Writer for one line.
func (writer *LineWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case writer.lines <- copied:
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Done returns a channel that is closed once everything has been written.
func (writer *LineWriter) Done() <-chan struct{} { return writer.done }

// Close writes the queued lines and ends the writer.
func (writer *LineWriter) Close() {
	close(writer.stop)
	<-writer.done
}

// setLogFormat sets the names and formats that the libraries keep in package variables, which lines that are being
// written read.
var setLogFormat = sync.OnceFunc(func() {
	zerologr.NameFieldName = "part"
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
})

// NewLog returns a log of JSON lines.
func NewLog(output io.Writer) logr.Logger {
	setLogFormat()
	logger := zerolog.New(output).With().Timestamp().Logger()
	return zerologr.New(&logger)
}
