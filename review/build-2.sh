#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, from what the build of the deploy file left in the module
# cache, and the version in production from the repository's history, with the libraries of this one.
# It needs no network. Without the history only the case of the upgrade can't run.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOPROXY=off GOFLAGS=-buildvcs=false
out=$PWD/target/review-2
mkdir -p "$out"
(cd review/testdata/rig-2 && go build -mod=mod -o "$out/rig" .)

production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
if ! git cat-file -e "$production^{commit}" 2>/dev/null; then
  echo "no history of $production: the case of the upgrade can't run" >&2
  exit 0
fi
# The sources stand in a temporary folder: the project's tests read all that lies in the repository's.
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
git archive "$production" | tar -x -C "$sources"
cp go.mod go.sum "$sources"
(cd "$sources" && GOFLAGS="$GOFLAGS -mod=mod" sh -c "$build")
rm -rf "$out/production"
mkdir -p "$out/production/target"
cp "$sources/target/garnethitch" "$out/production/target/garnethitch"
