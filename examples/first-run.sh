#!/usr/bin/env bash
# A first run on one machine, in one command: three edge nodes, three stores and
# two stand-in workers on loopback addresses; a configuration, a streamed answer,
# a batch job and its result. At the end it stops every process it started; with
# --stay they run until Ctrl-C. Data and logs are in run/; the next run starts from
# that data. Needs curl, and the programs (README, "Set up").
set -euo pipefail
cd "$(dirname "$0")/.."
stay=false
[ "${1:-}" = --stay ] && stay=true
for need in target/rowanshunt target/worker; do
  [ -x "$need" ] || { echo "$need is missing: build first (README, \"Set up\")"; exit 1; }
done

first=true
[ -d run ] && first=false
mkdir -p run
pids=()
stop() {
  trap - EXIT INT TERM
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait
}
trap stop EXIT
trap 'exit 130' INT TERM

node() { # name role last-byte zone
  local ip=127.0.0.$3 file=run/$1.toml
  {
    echo "node = \"$1\""
    echo "ipaddr = \"$ip\""
    echo "az = \"$4\""
    echo "port_range = [7660,7675]"
    echo 'seeds = ["127.0.0.1:8146","127.0.0.2:8146","127.0.0.3:8146"]'
    echo "bootstrap = $first"
    echo "datadir = \"run/$1\""
    if [ "$2" = edge ]; then
      echo 'serves = ["edge","ctl"]'
      echo '[listen]'
      echo "http = \"$ip:8144\""
      echo "readyz = \"$ip:8140\""
      echo "ctl = \"$ip:8146\""
    fi
    echo '[ft]'
    echo 'nodes = 1'
  } > "$file"
  target/rowanshunt "$2" --file "$file" 2> "run/$1.log" &
  pids+=($!)
}

# until_ok WHAT WANT COMMAND...: repeats a command until its output matches.
until_ok() {
  local what=$1 want=$2 out=
  shift 2
  for _ in $(seq 150); do
    out=$("$@" 2>/dev/null) || true
    if [[ $out =~ $want ]]; then return 0; fi
    sleep 0.2
  done
  echo "$what: last answer: $out (logs are in run/)"
  return 1
}

code() { curl -sS -o /dev/null -w '%{http_code}' --max-time 3 "$@"; }

echo "starting three edge nodes, three stores and two workers"
node edge-1 edge 1 north
node edge-2 edge 2 east
node edge-3 edge 3 west
node store-1 store 11 north
node store-2 store 12 east
node store-3 store 13 west
target/worker --id i-1 --addr 127.0.0.1:9001 2> run/worker-1.log &
pids+=($!)
target/worker --id i-2 --addr 127.0.0.1:9002 --node 127.0.0.2:8146 2> run/worker-2.log &
pids+=($!)

# 503 until the bootstrap is complete; 412 if an earlier run has set it.
until_ok "setting the configuration" '^(200|204|412)$' \
  code -X PUT -H 'If-Match: 0' --data @examples/configuration.json http://127.0.0.1:8146/-/config
echo "configuration set: examples/configuration.json"

ask=(-H 'Host: shop.example' -H 'X-Rowanshunt-Tokens: 5,5' -d hello)
until_ok "a first answer" '^200$' code "${ask[@]}" -H 'X-Rowanshunt-Request-Id: warm-up' http://127.0.0.3:8144/chat/1
echo "a streamed answer, through edge-3:"
curl -sS -N --max-time 10 "${ask[@]}" -H 'X-Rowanshunt-Request-Id: r1' http://127.0.0.3:8144/chat/1

job=job-$(date +%s)
until_ok "submitting a batch job" '^2..$' \
  code -H 'Host: shop.example' -H "X-Rowanshunt-Request-Id: $job" http://127.0.0.1:8144/lots/1 \
  -d '{"reqs":[{"id":"a","path":"/lots/1/a","hdrs":{"X-Rowanshunt-Tokens":"5,5"},"body":"aGVsbG8=","toks":10}]}'
result() { curl -sS --max-time 5 -H 'Host: shop.example' -H 'X-Rowanshunt-Wait-Ms: 1000' "http://127.0.0.2:8144/-/lots/$job?start_at=0"; }
until_ok "the result of the batch job" '"phase":"done"' result
echo "the batch job $job and its result, through edge-2:"
result
echo

if $stay; then
  echo "running; Ctrl-C ends it"
  wait
fi
echo "done"
