# Functions shared by the scripts in this folder: packages, build, and processes on loopback.
set -euo pipefail

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$top"
build_dir="$top/build"
work_dir=""
suite="" # of the tests that a script runs
process_ids=()

packages=(libasio-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libboost-dev
  libcpp-httplib-dev libgoogle-glog-dev libcriterion-dev nlohmann-json3-dev libxxhash-dev libhttp-parser-dev zlib1g-dev
  pkg-config cmake ninja-build g++ curl ccache)

# Installs the packages that are missing.
install_packages() {
  local missing=()
  local name
  for name in "${packages[@]}" "$@"; do
    dpkg -s "$name" >/dev/null 2>&1 || missing+=("$name")
  done
  if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -qq >&2
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >&2
  fi
}

# Configures and builds all targets; prints the end of the build log on failure.
# build [DIRECTORY [CMAKE_OPTION...]]
build() {
  local dir=${1:-$build_dir}
  shift || true
  local launcher=()
  # Paths relative to the work tree, so that the work trees of a clone share cached objects.
  export CCACHE_BASEDIR="$top" CCACHE_NOHASHDIR=1
  command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
  cmake -S "$top" -B "$dir" -G Ninja "${launcher[@]}" "$@" >/dev/null
  ninja -C "$dir" >"$dir/build.log" || { tail -n 50 "$dir/build.log" >&2; return 1; }
}

# Starts a process in the background and sets `last_id` to its id. start NAME COMMAND...
start() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.err" &
  last_id=$!
  process_ids+=("$last_id")
}

# Kills the processes started by this script, by id, and removes the work directory.
stop_all() {
  local id
  for id in "${process_ids[@]}"; do
    kill -9 "$id" 2>/dev/null || true
    wait "$id" 2>/dev/null || true
  done
  [ -z "$work_dir" ] || rm -rf "$work_dir"
}

# Creates the work directory, which is removed when the script exits.
begin_work() {
  work_dir=$(mktemp -d)
  trap stop_all EXIT
}

# Writes a daemon's settings file.
# write_settings FILE INSTANCE DOMAIN SERVICE VERSION BASE_PORT LOG_PORT SEED_PORT
# Ports: base = peers, base+1 = callers, base+2 = operators, base+3 = upstream.
write_settings() {
  cat >"$1" <<JSON
{
  "instance": "$2", "failure_domain": "$3",
  "listen": {"host": "127.0.0.1", "datagram_port": $6, "stream_port": $6,
             "call_port": $(($6 + 1)), "operator_port": $(($6 + 2))},
  "upstream": {"host": "127.0.0.1", "port": $(($6 + 3)), "service": "$4", "version": "$5"},
  "log": {"host": "127.0.0.1", "port": $7},
  "seeds": [{"host": "127.0.0.1", "datagram_port": $8, "stream_port": $8}]
}
JSON
}

# Runs `arbutuslb ctl` with a local daemon. ctl OPERATOR_PORT ARGUMENTS...
ctl() {
  local port=$1
  shift
  "$build_dir/arbutuslb" ctl --daemon "127.0.0.1:$port" --operator demo "$@"
}

# Repeats a command until it succeeds; returns 1 if that takes longer than SECONDS.
# retry SECONDS COMMAND...
retry() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $limit ] || return 1
    sleep 0.1
  done
}

# Prints the value of KEY in a line of key=value pairs. value_of KEY LINE
value_of() {
  sed -n "s/.*\\b$1=\\([^ ]*\\).*/\\1/p" <<<"$2"
}

# Runs a test of $suite: the command must exit with EXIT_CODE and its output must match the regular
# expression PATTERN. expect NAME EXIT_CODE PATTERN COMMAND...
expect() {
  local name=$1 wanted=$2 pattern=$3 output code=0
  shift 3
  output=$("$@" 2>&1) || code=$?
  if [ $code -eq "$wanted" ] && grep -q -- "$pattern" <<<"$output"; then
    echo "ok - $suite::$name"
  else
    echo "not ok - $suite::$name"
    echo "  exit code $code, expected $wanted; expected a match of \"$pattern\" in: ${output:0:400}"
  fi
}

# Runs a command and then ends processes by their ids; returns the command's exit code.
# ending "ID..." COMMAND...
ending() {
  local ids=$1 id code=0
  shift
  "$@" || code=$?
  for id in $ids; do kill -9 "$id" 2>/dev/null || true; done
  return $code
}
