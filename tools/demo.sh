#!/usr/bin/env bash
# End-to-end demo on this machine: runs Telón Norte's fleet as local processes under load, with failures.
# Prints one figure=... line for each guarantee and exits non-zero if a guarantee was violated.
set -euo pipefail

usage() {
  echo "usage: tools/demo.sh [--seed N] [--keep]"
  echo "  --seed N   seed of the load and of the fabric's faults (default 1)"
  echo "  --keep     keep the directory with logs and records"
}

seed=1
keep=no
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed="${2:?--seed needs a number}"; shift 2 ;;
    --keep) keep=yes; shift ;;
    --help|-h) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done

cd "$(dirname "$0")/.."
tools/setup.sh
cmake --preset release >/dev/null
cmake --build --preset release >/dev/null || { echo "demo: the build failed; run cmake --build --preset release" >&2; exit 1; }

bin=$PWD/build/release
run=$(mktemp -d)
pids=()
declare -A pid_of

# Stops all started processes: SIGTERM first, and SIGKILL to those still running after 5 s. Then removes the directory
# with logs and records, unless it is to be kept.
finish() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 50); do
    local alive=no
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=yes; done
    [ $alive = no ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ $keep = yes ]; then echo "demo: kept $run"; else rm -rf "$run"; fi
}
trap finish EXIT

# start NAME COMMAND...: starts the command in the background. Its output goes to NAME.out, its errors to NAME.log.
start() {
  local name=$1; shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pid_of[$name]=$!
  pids+=($!)
}

base=21000
centres=(bizkaia-a bizkaia-b bizkaia-c bizkaia-d)
balancer_centres=(bizkaia-a bizkaia-a bizkaia-b bizkaia-c bizkaia-d)

# write_vms VERSION [N | -N]...: writes the list of VMs. N is the number of a balancer VM that is leaving; -N removes
# balancer VM N from the list. The file is moved into place, so that a reader never sees half of it.
write_vms() {
  local version=$1; shift
  local changes=" $* "
  {
    printf '[list]\nversion = %s\n' "$version"
    for i in 1 2 3 4 5; do
      case "$changes" in *" -$i "*) continue ;; esac
      local state=live
      case "$changes" in *" $i "*) state=leaving ;; esac
      printf '\n[vm %s]\nincarnation = 1\nrole = balancer\ndata_centre = %s\naddress = 127.0.0.1:%s\npeer_address = 127.0.0.1:%s\ncontrol_address = 127.0.0.1:%s\nstate = %s\n' \
        "$i" "${balancer_centres[i-1]}" $((base + 10*i)) $((base + 10*i + 2)) $((base + 10*i + 3)) "$state"
    done
    for i in $(seq 101 118); do
      local service=rehearsal
      [ "$i" -gt 114 ] && service=scripts
      printf '\n[vm %s]\nincarnation = 1\nrole = backend\nservice = %s\ndata_centre = %s\naddress = 127.0.0.1:%s\n' \
        "$i" "$service" "${centres[i % 4]}" $((base + i))
    done
  } >"$run/vms.new"
  mv "$run/vms.new" "$run/vms.ini"
}

# note FIELDS...: appends a line with the fields and the time in microseconds since the epoch to the demo's records.
note() { echo "$* at=$(($(date +%s%N) / 1000))" >>"$run/demo.records"; }

cp etc/telon-norte/config.ini "$run/config.ini"
write_vms 1

start platform "$bin/cuminvane-standin" --role platform --listen 127.0.0.1:$((base + 2)) --dir "$run"
start fabric "$bin/cuminvane-standin" --role fabric --listen 127.0.0.1:$((base + 3)) \
  --platform 127.0.0.1:$((base + 2)) --service 127.0.0.1:$base --service 127.0.0.1:$((base + 1)) \
  --loss 0.002 --duplicate 0.002 --reorder 0.05 --delay-ms 20 --seed "$seed"
for i in $(seq 101 118); do
  service=rehearsal
  [ "$i" -gt 114 ] && service=scripts
  start "backend-$i" "$bin/cuminvane-standin" --role backend --listen 127.0.0.1:$((base + i)) --vm "$i" \
    --serves "$service" --slots 3 --record "$run/backend-$i.records"
done
for i in 1 2 3 4 5; do
  cat >"$run/balancer-$i.ini" <<INI
[vm]
id = $i
data_centre = ${balancer_centres[i-1]}
[listen]
fabric = 127.0.0.1:$((base + 10*i))
backend = 127.0.0.1:$((base + 10*i + 1))
peer = 127.0.0.1:$((base + 10*i + 2))
control_port = $((base + 10*i + 3))
[platform]
address = 127.0.0.1:$((base + 2))
INI
  start "balancer-$i" "$bin/cuminvaned" --config "$run/balancer-$i.ini"
done

control=$(printf '127.0.0.1:%s,' $((base+13)) $((base+23)) $((base+33)) $((base+43)) $((base+53)))
for attempt in $(seq 50); do
  serving=$("$bin/cuminvanectl" status --balancers "$control" 2>/dev/null | grep -c state=serving || true)
  [ "$serving" = 5 ] && break
  [ "$attempt" = 50 ] && { echo "demo: only $serving of 5 balancers serve; see $run" >&2; keep=yes; exit 1; }
  sleep 0.1
done

start caller "$bin/cuminvane-call" --seed "$seed" --seconds 40 --record "$run/caller-1.records" \
  --mix "service=rehearsal;address=127.0.0.1:$base;class=edits;idempotent=no;flows=700;requests=10;parts=1;busy_ms=25;deadline_ms=5000" \
  --mix "service=rehearsal;address=127.0.0.1:$base;class=sessions;idempotent=yes;flows=800;requests=10;parts=2;busy_ms=20;deadline_ms=5000;follows=yes" \
  --mix "service=scripts;address=127.0.0.1:$((base + 1));class=deliveries;idempotent=yes;flows=500;requests=10;parts=24;busy_ms=25;deadline_ms=8000"

sleep 10
note event=kill vm=2
kill -KILL "${pid_of[balancer-2]}"
sleep 2
write_vms 2 -2
sleep 4
note event=stop vm=4
write_vms 3 -2 4
kill -TERM "${pid_of[balancer-4]}"
sleep 6
note event=drain vm=103
{ sed 's/^version = 1$/version = 2/' etc/telon-norte/config.ini
  printf '\n[change spring-clean]\nkind = drain\nvm = 103\nbegins_at = 2026-01-01T00:00:00Z\n'; } >"$run/config.new"
mv "$run/config.new" "$run/config.ini"
wait "${pid_of[caller]}"
sed 's/^/callers: /' "$run/caller.out"
"$bin/cuminvanectl" status --balancers "$control" || true
"$bin/cuminvanectl" targets --balancers "$control" | grep data_centre=all || true
"$bin/cuminvane-standin" --role figures --dir "$run" --config "$run/config.ini" || { keep=yes; exit 1; }
echo "opaque flows: a balancer killed, two stopped, two backend servers drained, a new configuration"
build/release/cuminvane_soak --demo --seed "$seed" --dir "/dev/shm/cuminvane-demo-$$" || { keep=yes; exit 1; }
