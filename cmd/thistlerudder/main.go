// Command thistlerudder is a real node: a router before a fleet of cache servers.
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
