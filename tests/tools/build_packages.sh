#!/bin/bash
# Shows which Debian packages a clean build for deployment opens, and checks `packages` in deploy/system.toml against them.
# Usage: build_packages.sh [JOBS [BUILD_FOLDER]]; what a given folder holds is used again, and linked anew. Debian only.
#
# What is looked at: the headers in the compiler's dependency files, the linker's inputs, the files that cmake and pkg-config
# read, the programs that they start, and the libraries that the built program loads. It is built without optimisation, which
# opens the same files sooner.
#
# It fails if a package that is used directly (a header that our sources include, a library on our link lines, a module that
# CMakeLists.txt asks for, a program of the build) is not listed, or if any other opened file's package would not be installed
# along with the listed ones by their Depends alone.
set -euo pipefail
cd "$(dirname "$0")/../.."
jobs="${1:-2}"
build="${2:-$(mktemp -d)/target}"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

listed_packages() {
  sed -nE 's/^packages *= *\[(.*)\]/\1/p' deploy/system.toml | tr -d '" ' | tr ',' '\n' | sed '/^$/d' | sort -u
}

# Programs are linked one after the other, so that what the linker tells is not mixed up.
run_build() {
  cmake -S . -B "$build" -G "Unix Makefiles" -DCMAKE_BUILD_TYPE=Release -DDYKESTAGE_TESTS=OFF \
    -DCMAKE_CXX_FLAGS_RELEASE=-O0 -DCMAKE_EXE_LINKER_FLAGS=-Wl,--trace >"$work/configure.log"
  cmake --build "$build" -j "$jobs" >"$work/compile.log"
  rm -f "$build"/bin/*
  cmake --build "$build" >"$work/build.log"
}

headers() {
  find "$build" -name '*.d' -exec cat {} + | tr -s ' \\' '\n' | grep '^/usr/'
}

# The headers that the project's own sources name.
direct_headers() {
  grep -rhoE '^ *# *include <[^>]+>' lib platform programs | sed -E 's/.*<(.*)>/\1/' | sort -u >"$work/includes"
  headers | sort -u | awk -v names="$work/includes" '
    BEGIN { while ((getline name < names) > 0) wanted[name] = 1 }
    {
      path = $0
      rest = path
      while (match(rest, "/")) {
        rest = substr(rest, RSTART + 1)
        if (rest in wanted) { print path; break }
      }
    }'
}

linker_inputs() {
  grep -E '^/[^ ]+\.(so[.0-9]*|a|o)$' "$work/build.log"
}

# Libraries on the link lines: by path, or by -l and the linker's own folder.
direct_libraries() {
  local word
  find "$build" -name link.txt -exec cat {} + | tr -s ' ' '\n' | sort -u | while read -r word; do
    case "$word" in
      /usr/*.so | /usr/*.a) echo "$word" ;;
      -l*) g++ -print-file-name="lib${word#-l}.so" ;;
    esac
  done
}

cmake_files() {
  grep -oE '"/usr/[^"]+"' "$build/CMakeFiles/Makefile.cmake" | tr -d '"' | grep -v '/share/cmake-'
}

modules() {
  sed -nE 's/^pkg_check_modules\(.* ([a-z0-9.]+)\)/\1/p' CMakeLists.txt
}

# The .pc files of a module and of all that it requires.
module_files() {
  local module required
  for module in "$@"; do
    if grep -qxF "$module" "$work/modules_seen"; then continue; fi
    echo "$module" >>"$work/modules_seen"
    echo "$(pkg-config --variable=pcfiledir "$module")/$module.pc"
    required="$(pkg-config --print-requires --print-requires-private "$module" | awk '{print $1}')"
    # shellcheck disable=SC2086
    module_files $required
  done
}

# The programs that the build starts by name; a name of update-alternatives stands for the program behind it.
programs() {
  local keys path link
  keys='CMAKE_CXX_COMPILER|CMAKE_MAKE_PROGRAM|CMAKE_COMMAND|PKG_CONFIG_EXECUTABLE'
  sed -nE "s/^($keys):[A-Z]+=//p" "$build/CMakeCache.txt" | while read -r path; do
    link="$(readlink "$path" || true)"
    if [[ "$link" == /etc/alternatives/* ]]; then path="$(readlink "$link")"; fi
    echo "$path"
  done
}

# Those that they start in turn.
compiler_programs() {
  g++ -print-prog-name=cc1plus
  command -v "$(g++ -print-prog-name=as)" "$(g++ -print-prog-name=ld)" ar ranlib
}

loaded_libraries() {
  ldd "$build/bin/node" | grep -oE '/[^ ]+'
}

# Every line: package, file. A path is looked up as it is and with its links resolved, with and without a leading /usr.
packages_of() {
  sort -u | sed '/^$/d' >"$work/files"
  xargs -d '\n' realpath -ms <"$work/files" >"$work/plain"
  xargs -d '\n' realpath -m <"$work/files" >"$work/resolved"
  paste -d'\t' "$work/files" "$work/plain" "$work/resolved" | awk -F'\t' -v owners="$work/owners" '
    BEGIN { while ((getline line < owners) > 0) { split(line, part, "\t"); owner[part[2]] = part[1] } }
    function look(path) {
      if (path in owner) return owner[path]
      if ("/usr" path in owner) return owner["/usr" path]
      if (substr(path, 5) in owner) return owner[substr(path, 5)]
      return ""
    }
    {
      found = look($2)
      if (found == "") found = look($3)
      print (found == "" ? "unknown" : found) " " $1
    }'
}

# Every line: package, tab, path; from what dpkg has installed.
owners() {
  local list package
  for list in /var/lib/dpkg/info/*.list; do
    package="$(basename "$list" .list)"
    sed "s|^|${package%%:*}\t|" "$list"
  done
}

# All packages that come with the given ones by Depends and Pre-Depends, themselves included.
with_dependencies() {
  apt-cache depends --recurse --installed --no-recommends --no-suggests --no-conflicts --no-breaks --no-replaces \
    --no-enhances "$@" | grep -vE '^[ |<]' | sed 's/:.*//' | sort -u
}

run_build
owners >"$work/owners"
: >"$work/modules_seen"
{
  direct_headers
  direct_libraries
  # shellcheck disable=SC2046
  for module in $(modules); do echo "$(pkg-config --variable=pcfiledir "$module")/$module.pc"; done
  programs
} | packages_of >"$work/direct"
{
  headers
  linker_inputs
  cmake_files
  # shellcheck disable=SC2046
  module_files $(modules)
  programs
  compiler_programs
  loaded_libraries
} | packages_of >"$work/opened"

listed_packages >"$work/listed"
# shellcheck disable=SC2046
with_dependencies $(cat "$work/listed") >"$work/installed"
# What comes with the compiler is not named one by one.
with_dependencies g++ >"$work/toolchain"

# Listed packages of which nothing is opened, but what they name by Depends: package, tab, listed package.
while read -r package; do
  if grep -q "^$package " "$work/opened"; then continue; fi
  dpkg-query -W -f '${Depends}\n' "$package" | tr ',' '\n' | sed -E 's/^ *([^ :(]+).*/\1/' | sed "s|\$|\t$package|"
done <"$work/listed" >"$work/by_metapackage"

faults=0
printf '%-28s %6s  %-8s %s\n' package files used "how it comes"
while read -r count package; do
  used=through
  if grep -q "^$package " "$work/direct"; then used=directly; fi
  metapackage="$(sed -n "s|^$package\t||p" "$work/by_metapackage" | head -1)"
  if grep -qxF "$package" "$work/listed"; then
    how="listed"
  elif [[ -n "$metapackage" ]]; then
    how="listed as $metapackage, which stands for it"
  elif [[ "$used" == directly ]] && ! grep -qxF "$package" "$work/toolchain"; then
    how="NOT LISTED, e.g. $(grep -m1 "^$package " "$work/direct" | cut -d' ' -f2)"
    faults=$((faults + 1))
  elif grep -qxF "$package" "$work/installed"; then
    how="with a listed one"
  else
    how="NOT INSTALLED, e.g. $(grep -m1 "^$package " "$work/opened" | cut -d' ' -f2)"
    faults=$((faults + 1))
  fi
  printf '%-28s %6s  %-8s %s\n' "$package" "$count" "$used" "$how"
done < <(cut -d' ' -f1 "$work/opened" | sort | uniq -c)
while read -r package; do
  if ! grep -q "^$package " "$work/opened"; then
    printf '%-28s %6s  %-8s %s\n' "$package" 0 - "listed; no file of its own is opened"
  fi
done <"$work/listed"
echo "$faults faults"
((faults == 0))
