// Command thistlerudder is a real node: a router before a fleet of cache servers.
package main

import "os"

func main() {
	if root().Execute() != nil {
		os.Exit(1)
	}
}
