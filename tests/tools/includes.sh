#!/bin/bash
# Checks that includes go one way between the packages of lib/: a package may include those before it in `layers`, never
# one after it. Usage: includes.sh [SOURCE_FOLDER]; it fails if an arrow goes up that is not listed below, if a listed one
# is gone, or if a package has no place in the order.
set -euo pipefail

# From the lowest layer to the highest.
layers=(base tempo disk neighbour policy caller operator agent core upstream program)

# Arrows from a lower package to a higher one that stood when this check was written, each with its reason. None may be
# added: whoever mends one takes its line out.
exceptions=(
  # The model of the replicated state (core/state) is shared by everybody, and shares its package with the registry.
  "neighbour/messages.hpp core/state.hpp"
  "policy/cache.hpp core/state.hpp"
  "policy/placement.hpp core/state.hpp"
  "caller/edge.hpp core/state.hpp"
  "operator/configuration.hpp core/state.hpp"
  # Look-up of header values stands with the HTTP server.
  "policy/cache.cpp caller/face.hpp"
  # The reader of JSON stands with the admin formats.
  "caller/record.cpp operator/json.hpp"
)

cd "${1:-$(dirname "$0")/../..}/lib"

rank_of() {
  local index
  for index in "${!layers[@]}"; do
    if [[ "${layers[index]}" == "$1" ]]; then
      echo "$index"
      return
    fi
  done
  echo none
}

# Every line: file, included file.
arrows() {
  grep -rHoE --include='*.[ch]pp' '^ *# *include "[^"]+"' . | sed -E 's|^\./||; s|:.*"([^"]+)"| \1|' | sort -u
}

faults=0
report() {
  echo "$1"
  faults=$((faults + 1))
}

for package in */; do
  if [[ "$(rank_of "${package%/}")" == none ]]; then report "lib/${package%/} has no place in the order of layers"; fi
done

upward=()
while read -r file included; do
  from="${file%%/*}"
  to="${included%%/*}"
  from_rank="$(rank_of "$from")"
  to_rank="$(rank_of "$to")"
  if [[ "$from_rank" == none ]]; then continue; fi
  if [[ "$to_rank" == none ]]; then
    report "$file includes \"$included\", which is in no package of lib/"
  elif ((to_rank > from_rank)); then
    upward+=("$file $included")
  fi
done < <(arrows)

for arrow in "${upward[@]}"; do
  if ! printf '%s\n' "${exceptions[@]}" | grep -qxF "$arrow"; then
    report "${arrow% *} includes \"${arrow#* }\", which is in a higher package"
  fi
done
for exception in "${exceptions[@]}"; do
  if ! printf '%s\n' "${upward[@]}" | grep -qxF "$exception"; then
    report "the exception \"$exception\" is not needed any more: take it out"
  fi
done

echo "${#upward[@]} upward includes, ${#exceptions[@]} of them known; $faults faults"
((faults == 0))
