package daemon

import (
	"errors"
	"net"
	"net/http"

	"lentilproxy/core/setup"

	"github.com/go-logr/logr"
	"github.com/samber/oops"
)

// peersListener is the number of the listener for peers, among those of both kinds of daemon.
const peersListener = 2

// listeners are the listeners of a daemon, and the HTTP servers on some of them.
type listeners struct {
	log     logr.Logger
	open    []net.Listener
	servers []*http.Server
}

// listen opens all listeners or none, in the order of their addresses.
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
		// Port 0 lets the system choose.
		settings.AdvertisePeers = listeners.address(peersListener)
	}
	return listeners, nil
}

// address returns the address of a listener, as IP:port.
func (listeners *listeners) address(number int) string { return listeners.open[number].Addr().String() }

// serve runs an HTTP server on a listener.
func (listeners *listeners) serve(server *http.Server, number int) {
	listeners.servers = append(listeners.servers, server)
	go func() {
		if err := server.Serve(listeners.open[number]); !errors.Is(err, http.ErrServerClosed) {
			listeners.log.Error(err, "a listener ended", "address", listeners.address(number))
		}
	}()
}

// close ends the HTTP servers at once.
func (listeners *listeners) close() {
	for _, server := range listeners.servers {
		_ = server.Close()
	}
}
