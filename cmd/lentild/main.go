// Command lentild is the daemon that serves callers and forwards their requests to backend servers.
package main

import (
	"os"

	"lentilproxy/io/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
