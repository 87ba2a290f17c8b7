#!/usr/bin/env bash
# A first run on one machine: three foragers and three combs on loopback
# addresses, data below run/. Ctrl-C stops them. Build first (see README).
set -euo pipefail
cd "$(dirname "$0")/.."
first=true
[ -d run ] && first=false
mkdir -p run
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
    if [ "$2" = forager ]; then
      echo 'serves = ["edge","ctl"]'
      echo '[listen]'
      echo "http = \"$ip:8144\""
      echo "readyz = \"$ip:8140\""
      echo "ctl = \"$ip:8146\""
    fi
    echo '[ft]'
    echo 'nodes = 1'
  } > "$file"
  target/hive "$2" --file "$file" 2> "run/$1.log" &
  pids+=($!)
}
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT
node edge-1 forager 1 north
node edge-2 forager 2 east
node edge-3 forager 3 west
node store-1 comb 11 north
node store-2 comb 12 east
node store-3 comb 13 west
echo "running; logs and data are in run/. Ctrl-C ends it."
wait
