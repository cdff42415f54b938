// Package config reads the configuration files of nodes. It is the only package that knows the operators' keys: it checks
// each value, fills in defaults, and returns typed configuration in the terms of the rest of the program.
//
//   - Settings (settings.go) is the section "settings": what a deployment sets for all its nodes. The simulator reads the same.
//   - Node (node.go) is the rest of a node's file: addresses, limits of the machine, and the sections above.
//   - Cluster (cluster.go) is the section "fleet": the node's peers, with Budget (budgets.go) for the limits they share.
//
// Every error names the key at fault and what was expected there, as "KEY: expected ...".
package config
