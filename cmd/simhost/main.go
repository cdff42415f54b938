// Command simhost runs balancer instances on the simulator's wire: batches on standard input, one
// reply a line on standard output, plain messages on standard error.
package main

import (
	"log"
	"os"
	"runtime/debug"

	"github.com/thistlerudder/thistlerudder/internal/simwire"
)

// gcPercent trades memory, of which a node has plenty, for CPU, which is charged.
const gcPercent = 800

func main() {
	log.SetFlags(0)
	log.SetPrefix("simhost: ")
	debug.SetGCPercent(gcPercent)
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		log.Fatal(err)
	}
}
