package daemon

import (
	"errors"
	"net"
	"net/http"

	"lentilproxy/core/setup"

	"github.com/go-logr/logr"
	"github.com/samber/oops"
)

// peersListenerIndex is the index of the listener for peers, in Daemon and in Hosted.
const peersListenerIndex = 2

// listeners holds the listeners of a daemon, and the HTTP servers on some of them.
type listeners struct {
	log     logr.Logger
	open    []net.Listener
	servers []*http.Server
}

// listen opens all listeners or none, in the order of the addresses.
func listen(log logr.Logger, settings *setup.Listen, addresses ...string) (*listeners, error) {
	listeners := &listeners{log: log}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners.open {
				_ = open.Close()
			}
			return nil, oops.Code("listen_failed").With("address", address).Wrap(err)
		}
		listeners.open = append(listeners.open, listener)
	}
	if settings.AdvertisePeers == settings.Peers {
		// If the port is 0, the system has chosen one.
		settings.AdvertisePeers = listeners.address(peersListenerIndex)
	}
	return listeners, nil
}

// address returns the address of a listener, as IP:port.
func (listeners *listeners) address(index int) string { return listeners.open[index].Addr().String() }

// serve runs an HTTP server on a listener.
func (listeners *listeners) serve(server *http.Server, index int) {
	listeners.servers = append(listeners.servers, server)
	go func() {
		if err := server.Serve(listeners.open[index]); !errors.Is(err, http.ErrServerClosed) {
			listeners.log.Error(err, "listener failed", "address", listeners.address(index))
		}
	}()
}

// close ends the HTTP servers at once.
func (listeners *listeners) close() {
	for _, server := range listeners.servers {
		_ = server.Close()
	}
}
