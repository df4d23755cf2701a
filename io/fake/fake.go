// Package fake holds small stand-ins for the outside systems: the platform's table service and host list, the
// weight store, model engines and plain services. They serve the same protocols, and can be told to fail.
package fake

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// PathFault takes the faults of a stand-in, and PathStats returns its counts.
const (
	PathFault = "/fault"
	PathStats = "/stats"
)

const maxBodyBytes = 64 << 20

// Server serves one stand-in on a TCP port.
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

// Done is closed once the stand-in has ended.
func (server *Server) Done() <-chan struct{} { return server.done }

// Close ends the stand-in and cuts its connections.
func (server *Server) Close() {
	server.once.Do(func() { _ = server.http.Close() })
	<-server.done
}

// readJSON decodes a request's body and says whether that worked; otherwise the request has been answered.
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

// takeFaults answers a request that replaces the faults of a stand-in.
func takeFaults[T any](writer http.ResponseWriter, request *http.Request, set func(fault T)) {
	var fault T
	if readJSON(writer, request, &fault) {
		set(fault)
		writeJSON(writer, http.StatusOK, fault)
	}
}

// cut ends the connection of a request without an answer.
func cut(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}
