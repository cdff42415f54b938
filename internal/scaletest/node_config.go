//go:build faults

package scaletest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	hollowNodePrefix  = "h"
	budgetName        = "fetches"
	budgetRatePerNode = 20.0 // per second, of the budget's limit
)

// hollowConfigFile returns the name of a hollow node's configuration file.
func hollowConfigFile(node int) string { return fmt.Sprintf("%s%d.json", hollowNodePrefix, node) }

// writeNodeConfig writes the configuration file of a node. With viaRelays the node reaches the voters and the discovery service
// over the relays. The file is replaced atomically.
func (r *run) writeNodeConfig(name string, addrIndex int, isVoter, viaRelays bool) error {
	discovery := fmt.Sprintf("%s:%d", loopbackIP(discoveryAddrIndex), discoveryPort)
	routes := map[string]string{}
	var voterList []map[string]string
	for i := range voterCount {
		clusterAddress := fmt.Sprintf("%s:%d", loopbackIP(i), clusterPort)
		voterList = append(voterList, map[string]string{"name": fmt.Sprint("v", i), "address": clusterAddress})
		routes[clusterAddress] = fmt.Sprintf("%s:%d", loopbackIP(firstRelayAddrIndex), relayPort+i)
	}
	sockets := 1024
	if isVoter {
		sockets = r.voterSocketLimit(r.resources.Descriptors)
	}
	file := map[string]any{"name": name, "listen": fmt.Sprintf("%s:%d", loopbackIP(addrIndex), clientPort), "discovery": discovery,
		"limits": map[string]any{"cores": 1, "memory_mb": 256, "sockets": sockets},
		"settings": map[string]any{"balancers": r.HollowNodes + r.RealNodes, "models": []string{"box", "origin"},
			"domain":      map[string]any{"mode": "aside", "origin-kind": 1},
			"permissions": map[string]any{"most-shots": 3},
			"namespaces":  []map[string]any{{"name": "read", "repeat": "safe", "target-time-ms": 400, "time-limit-ms": 900}}}}
	if r.Includes(ScenarioLease) {
		clusterSection := map[string]any{"name": "scale", "address": fmt.Sprintf("%s:%d", loopbackIP(addrIndex), clusterPort), "voters": voterList}
		if isVoter {
			clusterSection["folder"], clusterSection["tasks"] = filepath.Join(r.dir, name+"-vote"), []string{"probe"}
		}
		if r.Includes(ScenarioBudget) {
			clusterSection["nodes"] = r.HollowNodes + r.RealNodes + voterCount
			limit := budgetRatePerNode * float64(r.HollowNodes+r.RealNodes+voterCount)
			clusterSection["budgets"] = []map[string]any{{"name": budgetName, "kind": "rate", "bounds": "origin", "whole": limit, "burst": 2 * int(limit)}}
		}
		if viaRelays {
			clusterSection["routes"] = routes
		}
		file["fleet"] = clusterSection
	}
	if viaRelays {
		file["discovery"] = fmt.Sprintf("%s:%d", loopbackIP(firstRelayAddrIndex), relayPort+voterCount)
	}
	if r.ConfigFileKB > 0 {
		file["notes"] = r.configPadding
	}
	encoded, err := json.Marshal(file)
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(path+".new", encoded, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// writeConfigs writes the configuration files of all nodes.
func (r *run) writeConfigs() (err error) {
	r.configRevision++
	padding := map[string]any{"revision": r.configRevision} // nodes ignore unknown keys; these make the files as large as real ones
	for i := range r.ConfigFileKB * 16 {
		padding[fmt.Sprintf("note-%05d", i)] = fmt.Sprintf("%048d", i)
	}
	if r.configPadding, err = json.Marshal(padding); err != nil {
		return err
	}
	for i, p := range r.voters {
		err = errors.Join(err, r.writeNodeConfig(p.name, i, true, false))
	}
	for i, p := range r.realNodes {
		err = errors.Join(err, r.writeNodeConfig(p.name, voterCount+i, false, false))
	}
	for n := range r.HollowNodes {
		viaRelays := r.Includes(ScenarioPartition) && r.PlaceOf(n).Region == 0
		err = errors.Join(err, r.writeNodeConfig(fmt.Sprint(hollowNodePrefix, n), voterCount+r.RealNodes+n, false, viaRelays))
	}
	return err
}
