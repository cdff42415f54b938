// Package voterstore has the files of a voter's folder: its identity and the log of the consensus library. A folder that is
// damaged or another's is refused and left as it is.
package voterstore
