// Command thistlerudder is a real node: a router before a fleet of cache servers.
package main

import (
	"errors"
	"os"
)

func main() {
	err := root().Execute()
	if status := exitStatus(0); errors.As(err, &status) {
		os.Exit(int(status))
	}
	if err != nil {
		os.Exit(1)
	}
}
