// Command thistlerudder runs a node, which routes requests to a fleet of cache servers. Its other commands check a configuration,
// simulate fleets, and administer a cluster of nodes.
package main

import (
	"errors"
	"os"
)

func main() {
	err := rootCommand().Execute()
	if code := exitCode(0); errors.As(err, &code) {
		os.Exit(int(code))
	}
	if err != nil {
		os.Exit(1)
	}
}
