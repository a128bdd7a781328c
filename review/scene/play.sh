#!/bin/sh
# play.sh NUMBER CASE plays a case: it starts scene, and the hosts with the command of the deploy file.
# It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
if [ ! -x target/heatherhub ] || [ ! -x target/review/scene ]; then
	echo "build first: the build of deploy/system.toml, then review/build-2.sh"
	exit 2
fi
dir=$(mktemp -d) || exit 2
hosts=""
finish() {
	[ -n "$hosts" ] && kill -9 $hosts 2>/dev/null
	kill $scene 2>/dev/null
	wait 2>/dev/null
	rm -rf "$dir"
}
trap 'finish; exit 2' INT TERM
# A case takes 112 seconds at most.
timeout -k 2 112 target/review/scene -case "$2" -trouble=$trouble -dir "$dir" -record "review/$1/record.txt" &
scene=$!
n=0
while [ ! -e "$dir/ready" ]; do
	n=$((n + 1))
	if [ $n -gt 100 ] || ! kill -0 $scene 2>/dev/null; then
		finish
		exit 2
	fi
	sleep 0.1
done
for settings in "$dir"/*.conf; do
	HEATHERHUB_CONFIG=$settings target/heatherhub serve >"$settings.log" 2>&1 &
	hosts="$hosts $!"
done
wait $scene
code=$?
finish
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
