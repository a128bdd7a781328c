#!/usr/bin/env bash
# play.sh CASE FOLDER plays a scripted case: it starts the stand-ins and, as separate processes with the
# command of deploy/system.toml, the hosts. It ends all of them and exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/heatherhub ] || [ ! -x target/review/standin ]; then
	echo "build first: the command in deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
dir=$(mktemp -d) || exit 2
pids=()
finish() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	if [ -n "${KEEP:-}" ]; then cp -r "$dir" "$KEEP"; fi
	rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review/standin "$1" "$2" "$dir" &
standin=$!
pids+=("$standin")
for _ in $(seq 100); do
	if [ -e "$dir/ready" ] || ! kill -0 "$standin" 2>/dev/null; then break; fi
	sleep 0.1
done
for settings in "$dir"/host-*.conf; do
	[ -e "$settings" ] || exit 2
	HEATHERHUB_CONFIG=$settings target/heatherhub serve >"${settings%.conf}.log" 2>&1 &
	pids+=("$!")
	disown "$!"
done
wait "$standin"
code=$?
if [ "$code" -gt 2 ]; then code=2; fi
exit "$code"
