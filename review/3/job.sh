#!/bin/sh
# An operator's job as "lease run" starts it: $2 steps of half a second each, by the shell itself.
echo $$ >>"$work/job-pids"
trap 'echo "$(($(date +%s%N) / 1000000)) SIGTERM job=$1 token=$THISTLERUDDER_TOKEN" >>"$record"; exit 1' TERM
echo "$(($(date +%s%N) / 1000000)) begin job=$1 token=$THISTLERUDDER_TOKEN pid=$$" >>"$record"
i=0
while [ $i -lt "$2" ]; do
	i=$((i + 1))
	sleep 0.5
	echo "$(($(date +%s%N) / 1000000)) step job=$1 number=$i" >>"$record"
done
echo "$(($(date +%s%N) / 1000000)) end job=$1 token=$THISTLERUDDER_TOKEN pid=$$" >>"$record"
