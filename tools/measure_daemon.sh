#!/usr/bin/env bash
# Measures the processor time and memory of one real balancer on loopback under a load of new flows.
# Called by tools/measure.sh daemon, which builds first. An optional first argument sets the balancer's log level for
# routing and placement (default: warning).
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/build/release
run=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 2.5
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap finish EXIT
start() { "$@" >>"$run/out" 2>>"$run/log" & pids+=($!); }

base=23000
sed "s/127.0.0.1:21/127.0.0.1:23/g" etc/telon-norte/config.ini >"$run/config.ini"
{
  printf '[list]\nversion = 1\n[vm 1]\nincarnation = 1\nrole = balancer\ndata_centre = bizkaia-a\naddress = 127.0.0.1:%s\npeer_address = 127.0.0.1:%s\n' \
    $((base + 10)) $((base + 12))
  for i in 101 102; do
    printf '[vm %s]\nincarnation = 1\nrole = backend\nservice = rehearsal\ndata_centre = bizkaia-a\naddress = 127.0.0.1:%s\n' "$i" $((base + i))
  done
} >"$run/vms.ini"
cat >"$run/balancer.ini" <<INI
[vm]
id = 1
data_centre = bizkaia-a
threads = 1
[listen]
fabric = 127.0.0.1:$((base + 10))
backend = 127.0.0.1:$((base + 11))
peer = 127.0.0.1:$((base + 12))
control_port = $((base + 13))
[platform]
address = 127.0.0.1:$((base + 2))
[log]
routing = ${1:-warning}
placement = ${1:-warning}
INI
start "$bin/cuminvane-standin" --role platform --listen 127.0.0.1:$((base + 2)) --dir "$run"
start "$bin/cuminvane-standin" --role fabric --listen 127.0.0.1:$((base + 3)) --platform 127.0.0.1:$((base + 2)) --service 127.0.0.1:$base
for i in 101 102; do
  start "$bin/cuminvane-standin" --role backend --listen 127.0.0.1:$((base + i)) --vm "$i" --serves rehearsal --slots 64 --queue 1000
done
start "$bin/cuminvaned" --config "$run/balancer.ini"
daemon=${pids[-1]}
sleep 1.5

# Processor time (user and system) that the balancer has used so far, in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$daemon/stat"; }
# Resident memory of the balancer in KB.
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$daemon/status"; }
# Clock ticks per second.
hz=$(getconf CLK_TCK)

echo "figure=daemon_memory_idle value=$(rss_kb) unit=KB bound=131072 held=yes"
for flows in 5000 10000 20000; do
  before=$(cpu_ticks)
  "$bin/cuminvane-call" --seconds 10 --seed "$flows" \
    --mix "service=rehearsal;address=127.0.0.1:$base;class=sessions;idempotent=yes;flows=$flows;requests=1;parts=1;busy_ms=1;deadline_ms=3000" >>"$run/calls"
  after=$(cpu_ticks)
  # The flows are opened during the first 40 % of the 10 s. Each flow sends one request.
  awk -v t=$((after - before)) -v hz="$hz" -v f="$flows" 'BEGIN {
    printf "figure=daemon_processor_us_per_flow_and_request_at_%d value=%.1f unit=us bound=none held=yes\n", f, t / hz * 1e6 / f }'
  echo "figure=daemon_memory_after_$flows value=$(rss_kb) unit=KB bound=131072 held=yes"
done
sed 's/^/load: /' "$run/calls"
