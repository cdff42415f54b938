#!/usr/bin/env bash
# Clients submit readings through one node. Each fifth answer of the origin is spoilt: it never ends. Each submission must have its final answer, or an end that its
# client can tell, in its time. TROUBLE=0: all answers end.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
. "$here/../node.sh"
endless=5
[ "${TROUBLE:-1}" = 0 ] && endless=0
start_nodes 1 3 servers --endless "$endless"
review/bin/standins submit --node "$node_addresses" --count 20 --record "$record"
