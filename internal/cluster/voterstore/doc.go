// Package voterstore manages the files in the data folder of a voter: its identity and the Raft log of the consensus library. A
// folder that is damaged or belongs to another node is refused and not modified.
package voterstore
