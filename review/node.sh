# Shared by the cases that need nodes before cache servers: settings like those of dar-readings in WIRE-thistlerudder.md. Sourced by run.sh after common.sh.

# start_nodes starts the stand-ins of the platform ($2 cache servers, the origin and discovery) with the command $3 and its further arguments, then $1 nodes with
# the command "run" of the deploy file, and waits until they are up. It sets "node_addresses", separated by commas.
start_nodes() {
	local run discovery address i nodes=$1 caches=$2 servers=""
	shift 2
	test -x bin/thistlerudder || cannot_run "bin/thistlerudder is missing: run the build of the deploy file first"
	test -x review/bin/standins || cannot_run "review/bin/standins is missing: run review/build.sh first"
	run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
	discovery=127.0.0.1:$(free_port)
	for i in $(seq $((caches + 1))); do
		servers="$servers${servers:+,}127.0.0.1:$(free_port)" # the last one is the origin
	done
	review/bin/standins "$@" --discovery "$discovery" --servers "$servers" --record "$record" >"$work/servers.log" 2>&1 &
	node_addresses=""
	for i in $(seq "$nodes"); do
		address=127.0.0.1:$(free_port)
		node_addresses="$node_addresses${node_addresses:+,}$address"
		mkdir -p "$work/tmp$i"
		cat >"$work/node$i.json" <<-JSON
			{"name": "n$i", "listen": "$address", "discovery": "$discovery", "seed": "8c1f30d27a5be96$i",
			 "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
			 "settings": {
			   "balancers": 3, "kind-of-service": "cache", "registry-mode": "ask", "models": ["fast-box", "std-box", "origin"],
			   "domain": {"mode": "aside", "origin-kind": 2},
			   "invariants": {"answer-slack-ms": 8, "ask-within-ms": 10000, "cold-from": 0.17, "fall-ms": 1500, "overload-factor": 4,
			                  "stop-sending-within-ms": 500, "warm-up-ms": 23000},
			   "namespaces": [
			     {"name": "meter-lookup", "repeat": "safe", "group": "all", "late-utility": 0.25, "memory-span-ms": 5000, "target-time-ms": 200,
			      "time-limit-ms": 750, "utility": 5},
			     {"name": "reading-submit", "repeat": "keyed", "group": "all", "late-utility": 0.3, "memory-span-ms": 2000, "target-time-ms": 400,
			      "time-limit-ms": 800, "utility": 10}],
			   "permissions": {"cancelling": true, "conn-idle-ms": 15000, "connect-timeout-ms": 75, "max-retry-after-ms": 400, "most-shots": 3,
			                   "parallel-tries": true, "probes": true, "retry-after": true}}}
		JSON
		TMPDIR=$work/tmp$i BALANCER_CONFIG=$work/node$i.json /bin/sh -c "$run" >"$work/node$i.log" 2>&1 &
		review/bin/standins await-up --node "$address" || cannot_run "node n$i is not up: $(tail -3 "$work/node$i.log")"
		note "node n$i is up at $address"
	done
}
