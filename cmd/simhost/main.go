// Command simhost runs balancer instances for the simulator. It reads batches
// of events from standard input, writes one line for each reply to standard
// output, and logs to standard error.
package main

import (
	"log"
	"os"
	"runtime/debug"

	"github.com/thistlerudder/thistlerudder/internal/simwire"
)

// gcPercent is the growth of the heap between two garbage collections, as in
// GOGC. It is high because the simulator charges for CPU time and memory is
// plentiful.
const gcPercent = 800 // percent

func main() {
	log.SetFlags(0)
	log.SetPrefix("simhost: ")
	debug.SetGCPercent(gcPercent)
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		log.Fatal(err)
	}
}
