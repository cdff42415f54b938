// Package config reads the configuration files of nodes. It is the only package that uses the key names of the files. It
// checks each value, sets defaults, and returns typed configuration that uses the names of the rest of the program.
//
//   - Settings (settings.go) is the section "settings": the settings that all nodes of a deployment have in common. The
//     simulator reads this section too.
//   - Node (node.go) is a node's whole file: addresses, resource limits, and the two sections.
//   - Cluster (cluster.go) is the section "fleet": the node's peers and, as Budget (budgets.go), the limits that the nodes share.
//
// An error about a value names the key and the expected value: "KEY: expected ...".
package config
