package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// bodyBytes is the size of a body of legal size: the limit is 1,048,576 bytes on both interfaces.
	bodyBytes = 1_000_000
	// smallChunksBytes is the size of a body in very small chunks, which take several times their size on the wire.
	smallChunksBytes = 500_000
	largeChunkBytes  = 250_000
	smallChunkBytes  = 4
	// excessBytes is the size of a body far over the limit.
	excessBytes = 64_000_000
	pieceBytes  = 10_000
	// headBytes is the size of a head that is sent a byte at a time.
	headBytes = 3_000
	// pipelined is the number of requests that are sent on one connection without a wait for the responses.
	pipelined = 30
	// Numbers of connections.
	bodyCrowd     = 200
	headCrowd     = 600
	responseCrowd = 150
	silentCrowd   = 600
	// sendTimeout bounds how long one connection of a crowd sends. The daemon may close it before.
	sendTimeout = 15 * time.Second
	// settleTime is how long a crowd stays connected before the check, so that the daemon has read what was sent.
	settleTime = 2 * time.Second
)

// crowd is a number of connections that each send something and then stay open until the end of the test.
type crowd struct {
	connections int
	send        func(target *target, conn io.Writer) error
}

var (
	largeChunks = crowd{bodyCrowd, func(target *target, conn io.Writer) error {
		return sendChunks(target, conn, bodyBytes, largeChunkBytes)
	}}
	smallChunks = crowd{bodyCrowd, func(target *target, conn io.Writer) error {
		return sendChunks(target, conn, smallChunksBytes, smallChunkBytes)
	}}
	announcedExcess = crowd{bodyCrowd, func(target *target, conn io.Writer) error {
		return sendBody(target, conn, excessBytes, excessBytes, pieceBytes)
	}}
	sentExcess = crowd{bodyCrowd, func(target *target, conn io.Writer) error {
		return sendChunks(target, conn, excessBytes, largeChunkBytes)
	}}
	wholeBodies = crowd{bodyCrowd, func(target *target, conn io.Writer) error {
		return sendBody(target, conn, bodyBytes, bodyBytes, bodyBytes)
	}}
	piecesOfBodies = crowd{bodyCrowd, func(target *target, conn io.Writer) error {
		return sendBody(target, conn, bodyBytes, bodyBytes-1, pieceBytes)
	}}
	heads = crowd{headCrowd, func(target *target, conn io.Writer) error {
		head := target.head(target.path) + "X-Filler: " + strings.Repeat("f", headBytes)
		for index := range len(head) {
			if _, err := io.WriteString(conn, head[index:index+1]); err != nil {
				return err
			}
		}
		return nil
	}}
	unreadResponses = crowd{responseCrowd, func(target *target, conn io.Writer) error {
		_, err := io.WriteString(conn, target.head(target.large)+"Content-Length: 0\r\n\r\n")
		return err
	}}
	silence   = crowd{silentCrowd, func(*target, io.Writer) error { return nil }}
	pipelines = crowd{responseCrowd, func(target *target, conn io.Writer) error {
		_, err := io.WriteString(conn, strings.Repeat(target.head(target.large)+"Content-Length: 0\r\n\r\n", pipelined))
		return err
	}}
)

var filler = bytes.Repeat([]byte("f"), excessBytes)

// sendBody announces a body of one size, and sends another one of it in pieces.
func sendBody(target *target, conn io.Writer, announced, sent, piece int) error {
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", target.head(target.path), announced); err != nil {
		return err
	}
	for sent > 0 {
		count, err := conn.Write(filler[:min(piece, sent)])
		if err != nil {
			return err
		}
		sent -= count
	}
	return nil
}

// sendChunks sends a body in chunks, without the last byte of the last chunk.
func sendChunks(target *target, conn io.Writer, size, chunk int) error {
	if _, err := io.WriteString(conn, target.head(target.path)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	framed := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, filler[:chunk])
	perWrite := max(1, pieceBytes/chunk)
	batch := bytes.Repeat(framed, perWrite)
	for sent := 0; sent+perWrite*chunk < size; sent += perWrite * chunk {
		if _, err := conn.Write(batch); err != nil {
			return err
		}
	}
	_, err := conn.Write(framed[:len(framed)-len("f\r\n")])
	return err
}

// play connects the crowd, waits until each connection has sent its part or has failed, and checks the daemon while they are open.
func (crowd crowd) play(target *target) {
	target.t.Helper()
	var group sync.WaitGroup
	var mutex sync.Mutex
	cut := 0
	for range crowd.connections {
		conn, err := net.Dial("tcp", target.address)
		if err != nil {
			cut++
			continue
		}
		target.t.Cleanup(func() { _ = conn.Close() })
		// A small receive buffer, so that the daemon holds what is not read.
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		group.Go(func() {
			if crowd.send(target, conn) != nil {
				mutex.Lock()
				defer mutex.Unlock()
				cut++
			}
		})
	}
	group.Wait()
	time.Sleep(settleTime)
	target.t.Logf("%d of %d connections could not send all", cut, crowd.connections)
	target.check()
}

// Bodies one byte short of their end, in large chunks, ended processes for lack of memory.
func TestHostedLargeChunks(t *testing.T) { largeChunks.play(newHosted(t)) }
func TestOwnLargeChunks(t *testing.T)    { largeChunks.play(newOwn(t)) }

// The same bodies in very small chunks could cost more than their size, if the framing is kept.
func TestHostedSmallChunks(t *testing.T) { smallChunks.play(newHosted(t)) }
func TestOwnSmallChunks(t *testing.T)    { smallChunks.play(newOwn(t)) }

// Bodies far over the limit must not be read into memory: neither when they are announced nor when they are just sent.
func TestHostedAnnouncedExcess(t *testing.T) { announcedExcess.play(newHosted(t)) }
func TestOwnAnnouncedExcess(t *testing.T)    { announcedExcess.play(newOwn(t)) }
func TestHostedSentExcess(t *testing.T)      { sentExcess.play(newHosted(t)) }
func TestOwnSentExcess(t *testing.T)         { sentExcess.play(newOwn(t)) }

// Many bodies of legal size at once held more than the memory of the host.
func TestHostedWholeBodies(t *testing.T)    { wholeBodies.play(newHosted(t)) }
func TestOwnWholeBodies(t *testing.T)       { wholeBodies.play(newOwn(t)) }
func TestHostedPiecesOfBodies(t *testing.T) { piecesOfBodies.play(newHosted(t)) }
func TestOwnPiecesOfBodies(t *testing.T)    { piecesOfBodies.play(newOwn(t)) }

// Heads that never end must neither hold connections nor memory.
func TestHostedHeads(t *testing.T) { heads.play(newHosted(t)) }
func TestOwnHeads(t *testing.T)    { heads.play(newOwn(t)) }

// Responses that are not read stay in the daemon's memory, also those to pipelined requests.
func TestHostedUnreadResponses(t *testing.T) { unreadResponses.play(newHosted(t)) }
func TestOwnUnreadResponses(t *testing.T)    { unreadResponses.play(newOwn(t)) }
func TestHostedPipelines(t *testing.T)       { pipelines.play(newHosted(t)) }
func TestOwnPipelines(t *testing.T)          { pipelines.play(newOwn(t)) }

// Silent connections must not use up the descriptors that other callers, peers, the store and servers need.
func TestHostedSilence(t *testing.T) { silence.play(newHosted(t)) }
func TestOwnSilence(t *testing.T)    { silence.play(newOwn(t)) }
