# Shared by the cases that need a fleet: three nodes with voters on loopback addresses, of the form of deploy/fleet-node.json. Sourced by run.sh after
# common.sh.

# start_fleet starts three nodes with the command "run" of the deploy file, and founds their fleet. The nodes' files are $work/n1.json to n3.json. Nothing
# answers at the discovery address: the case sends no lookups.
start_fleet() {
	local i run voters="" found=""
	test -x bin/thistlerudder || cannot_run "bin/thistlerudder is missing: run the build of the deploy file first"
	run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
	declare -A address
	for i in 1 2 3; do
		address[$i]=127.0.0.1:$(free_port)
		voters="$voters${voters:+, }{\"name\": \"n$i\", \"address\": \"${address[$i]}\"}"
	done
	for i in 1 2 3; do
		mkdir -p "$work/v$i" "$work/tmp$i"
		cat >"$work/n$i.json" <<-JSON
			{"name": "n$i", "listen": "127.0.0.1:$(free_port)", "discovery": "127.0.0.1:$(free_port)",
			 "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
			 "fleet": {"name": "readers", "address": "${address[$i]}", "voters": [$voters],
			           "folder": "$work/v$i", "lease_ms": 3000, "drift": 0.01, "delay_ms": 50},
			 "settings": {"balancers": 3, "models": ["box", "origin"], "domain": {"mode": "aside", "origin-kind": 1},
			              "permissions": {"most-shots": 3, "parallel-tries": true, "connect-timeout-ms": 75, "conn-idle-ms": 15000, "max-retry-after-ms": 400},
			              "namespaces": [{"name": "read", "repeat": "safe", "target-time-ms": 200, "time-limit-ms": 750}]}}
		JSON
		TMPDIR=$work/tmp$i BALANCER_CONFIG=$work/n$i.json /bin/sh -c "$run" >"$work/n$i.log" 2>&1 &
	done
	for _ in $(seq 40); do
		if found=$(bin/thistlerudder fleet found --config "$work/n1.json" 2>&1); then
			note "fleet founded: $found"
			return
		fi
		sleep 0.25
	done
	cannot_run "the fleet was not founded: $found"
}
