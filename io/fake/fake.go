// Package fake provides fakes of the external systems: the platform's table service and host list, the weight store,
// model engines and plain services. They speak the same protocols and can inject faults.
package fake

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	engineclient "lentilproxy/io/engine"
)

// PathFault is the path that sets the faults of a fake, and PathStats the path that returns its counters.
const (
	PathFault = "/fault"
	PathStats = "/stats"
)

const maxBodyBytes = 64 << 20

// Server serves one fake on a TCP port.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
	once     sync.Once
}

// Serve serves a handler at IP:port; port 0 chooses a free one.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &Server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}, listener: listener, done: make(chan struct{}),
	}
	go func() {
		defer close(server.done)
		_ = server.http.Serve(listener)
	}()
	return server, nil
}

// Address returns IP:port.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Done returns a channel that is closed once the server has stopped.
func (server *Server) Done() <-chan struct{} { return server.done }

// Close stops the server and closes its connections.
func (server *Server) Close() {
	server.once.Do(func() { _ = server.http.Close() })
	<-server.done
}

// readJSON decodes a request's body and reports whether it succeeded. If not, it has sent an error response.
func readJSON(writer http.ResponseWriter, request *http.Request, target any) bool {
	content, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(content, target)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// handleSetFault handles a request that replaces the faults of a fake.
func handleSetFault[T any](writer http.ResponseWriter, request *http.Request, set func(fault T)) {
	var fault T
	if readJSON(writer, request, &fault) {
		set(fault)
		writeJSON(writer, http.StatusOK, fault)
	}
}

// setNotices sets the headers by which a server says that it is leaving, or that it wants no requests for some seconds.
func setNotices(writer http.ResponseWriter, status int, leaving bool, retryAfter int) {
	if leaving {
		writer.Header().Set(engineclient.LeavingHeader, "1")
	}
	if status == http.StatusServiceUnavailable && retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
}

// dropConnection closes the connection of a request without a response.
func dropConnection(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}
