#!/usr/bin/env bash
# Sets up, builds and runs a small system on this machine: a fake platform, two
# regions with an entry host each, backend servers, and a caller that shows
# some requests. With --keep it leaves the system running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
cmake --preset release >/dev/null
cmake --build --preset release -j "${JOBS:-$(nproc)}" --target peridotsail fake_platform fake_backend fake_caller
bin=build/release/bin
logs=$(mktemp -d)
pids=()
hosts=()
# The hosts release their slots in the store, so the platform ends after them.
stop() {
  kill "${hosts[@]}" 2>/dev/null || true
  wait "${hosts[@]}" 2>/dev/null || true
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop EXIT
run() { local name=$1; shift; "$@" >"$logs/$name.log" 2>&1 & pids+=($!); }

run platform "$bin/fake_platform" --listen=127.0.0.1:20100 \
  --config=examples/inkwell.json --hosts=examples/hosts.json
run inbox-1 "$bin/fake_backend" --listen=127.0.0.1:20101 --name=inbox-1
run payment-1 "$bin/fake_backend" --listen=127.0.0.1:20102 --name=payment-1
run inbox-2 "$bin/fake_backend" --listen=127.0.0.1:20103 --name=inbox-2
run inbox-3 "$bin/fake_backend" --listen=127.0.0.1:20104 --name=inbox-3
host() { # name region failure-domain first-port
  run "$1" "$bin/peridotsail" serve --name="$1" --region="$2" --failure-domain="$3" \
    --callers=127.0.0.1:$4 --peers=127.0.0.1:$(($4 + 1)) --operators=127.0.0.1:$(($4 + 2)) \
    --store=127.0.0.1:20100 --host-list=127.0.0.1:20100 \
    --operator-token=demo-operator --peer-token=demo-peers --drain-limit=10
  hosts+=("${pids[-1]}")
}
host host-eu-1 eu-west eu-west-a 20001
host host-ap-1 ap-east ap-east-a 20011

ask() { "$bin/fake_caller" --host=127.0.0.1:20011 "$@" || true; }
echo "Waiting for the hosts to have slots, links and the configuration ..."
for _ in $(seq 300); do
  answer=$("$bin/fake_caller" --host=127.0.0.1:20011 --path=/stamps/ready --method=POST \
    --key=k1.secret --idempotency-key=ready 2>/dev/null || true)
  case "$answer" in *": 200 "*) break ;; esac
  sleep 0.2
done
echo "The hosts that a caller in ap-east is told to use:"
"$bin/peridotsail" lookup --host=127.0.0.1:20011
echo "A keyed request, served in its own region:"
ask --path=/inbox/7 --key=k1.secret
echo "A request without a key, and one with a withdrawn key:"
ask --path=/inbox/7
ask --path=/inbox/7 --key=k2.secret
echo "A route that is open to all:"
ask --path=/gallery/3
echo "A stamp, bought once although it is sent twice; payment runs in eu-west only:"
ask --path=/stamps/chile --method=POST --key=k1.secret --idempotency-key=order-1
ask --path=/stamps/chile --method=POST --key=k1.secret --idempotency-key=order-1
echo "The decision log of host-ap-1 is in $logs/host-ap-1.log"
if [ "${1:-}" = --keep ]; then
  echo "The system runs on; Ctrl-C ends it. Try:"
  echo "  $bin/fake_caller --host=127.0.0.1:20001 --path=/inbox/1 --key=k1.secret"
  wait
fi
