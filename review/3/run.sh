#!/usr/bin/env bash
# The first machine's "lease run" holds the lease "nightly" and is killed. The second machine's waits for the lease, 8 s at most, gets it and starts its job of
# 6 s. The job must run to its end, since its lease is renewed all the time. TROUBLE=0: there is no first holder, and nothing is killed.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
. "$here/../fleet.sh"
export here record work
start_fleet

if [ "${TROUBLE:-1}" != 0 ]; then
	bin/thistlerudder lease run nightly --config "$work/n1.json" -- "$here/job.sh" first 100 >"$work/first.log" 2>&1 &
	first=$!
	pids+=("$first")
	await_line 15 "begin job=first" || cannot_run "the first job did not begin: $(cat "$work/first.log")"
fi
note "the second machine's lease run starts with --wait 8s"
bin/thistlerudder lease run nightly --wait 8s --config "$work/n2.json" -- "$here/job.sh" second 12 >"$work/second.log" 2>&1 &
second=$!
pids+=("$second")
if [ "${TROUBLE:-1}" != 0 ]; then
	sleep 1
	note "SIGKILL to the first machine's lease run, process $first"
	kill -KILL "$first"
fi
await_line 15 "begin job=second" || cannot_run "the second job did not begin: $(cat "$work/second.log")"

# The lease as the fleet has it, until the second job's lease run has ended: an operator's view, which shows whether the lease was renewed.
token=$(sed -n 's/.*begin job=second token=\([0-9]*\).*/\1/p' "$record")
while kill -0 "$second" 2>/dev/null; do
	note "lease list: $(bin/thistlerudder lease list --config "$work/n3.json" 2>&1 | tr -s ' ' | grep '^nightly' || echo "no lease nightly")"
	sleep 0.2
done
wait "$second"
code=$?
note "the second machine's lease run ended with status $code"
sleep 0.3

# Left is how long the lease would run without a further renewal; a lease is 3 s.
least=$(sed -n "s/.*lease list: nightly [^ ]* $token \([0-9.]*\)s .*/\1/p" "$record" | sort -n | head -1)
if grep -q "end job=second" "$record" && [ "$code" = 0 ]; then
	verdict="held: the job ran to its end, status 0"
	status=0
elif [ -n "$least" ] && awk -v left="$least" 'BEGIN { exit !(left > 1) }'; then
	verdict="BROKEN: the job was ended and status $code says that the lease was not kept, though it had $least s left at least, of 3 s"
	status=1
else
	cannot_run "status $code, and the lease was not seen renewed (least time left: ${least:-unknown})"
fi
note "$verdict"
echo "$verdict"
exit $status
