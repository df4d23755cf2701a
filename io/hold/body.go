package hold

import (
	"errors"
	"io"
	"time"
)

const (
	// freeBytes is the size up to which a body costs no reservation: it is covered by the memory of its connection.
	freeBytes = 4 << 10
	// maxStepBytes bounds how far a buffer grows ahead of the bytes that have arrived.
	maxStepBytes = 1 << 20
	// readPatience is how long a body waits for memory before it is refused.
	readPatience = 300 * time.Millisecond
	// freeResponseBytes is the size up to which a response costs no reservation.
	freeResponseBytes = 16 << 10
)

// ErrNoRoom means that there is no memory for the rest of a transfer.
var ErrNoRoom = errors.New("no memory for the rest of the body")

// ReadAll reads a body to its end, or until the limit is exceeded by one byte. The buffer grows with the bytes that arrive, and the
// share with the buffer times copies, which is how often the body is held later. An announced size of -1 means that it is not known.
func (share *Share) ReadAll(source io.Reader, announced, limit, copies int64) ([]byte, error) {
	return share.readAll(source, announced, limit, copies, freeBytes, readPatience)
}

// ReadResponse is ReadAll for a response, which may wait for memory for some time.
func (share *Share) ReadResponse(source io.Reader, announced, limit, copies int64, patience time.Duration) ([]byte, error) {
	return share.readAll(source, announced, limit, copies, freeResponseBytes, patience)
}

func (share *Share) readAll(source io.Reader, announced, limit, copies, free int64, patience time.Duration) ([]byte, error) {
	if announced < 0 || announced > limit {
		announced = limit
	}
	// There is room for one byte more, in which the end of the body, or that it is too long, is found.
	content := make([]byte, 0, min(announced+1, 512))
	var held int64
	for {
		if len(content) == cap(content) {
			size := min(announced+1, int64(cap(content))+min(int64(cap(content)), maxStepBytes))
			if size > free && !share.Grow((size-held)*copies, patience) {
				return content, ErrNoRoom
			}
			if size > free {
				held = size
			}
			content = append(make([]byte, 0, size), content...)
		}
		count, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if held > 0 && count > 0 {
			share.Progress(int64(count))
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil || int64(len(content)) > announced {
			return content, err
		}
	}
}
