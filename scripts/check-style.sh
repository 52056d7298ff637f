#!/usr/bin/env bash
# Checks the formatting of all C++ files and runs clang-tidy on all translation units. The first argument is a
# configured build folder (default: build). Further arguments limit clang-tidy to these source files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
mapfile -t files < <(git ls-files '*.cpp' '*.h' | grep -v '/generated/')
clang-format --dry-run --Werror "${files[@]}"
sources=("$@")
if [ "${#sources[@]}" -eq 0 ]; then
    mapfile -t sources < <(git ls-files '*.cpp')
fi
cache=${XDG_CACHE_HOME:-$HOME/.cache}/jasminespread-lint
mkdir -p "$cache"
# Runs clang-tidy on a file again only when its preprocessed text, .clang-tidy or the clang-tidy version changed.
export build cache
settings=$(cat .clang-tidy <(clang-tidy --version) | sha256sum | cut -c1-16)
export settings
lint() {
    local source=$1 command key
    command=$(python3 - "$build" "$source" <<'PY'
import json, os, shlex, sys
build, source = sys.argv[1:]
for entry in json.load(open(os.path.join(build, "compile_commands.json"))):
    if os.path.realpath(entry["file"]) == os.path.realpath(source):
        words = shlex.split(entry["command"])
        if os.path.basename(words[0]) == "ccache":
            words = words[1:]
        words = words[:words.index("-o")] + ["-E", "-o", "-", entry["file"]]
        print(shlex.join(words))
        break
PY
    )
    [ -n "$command" ] || { echo "$source: not in $build/compile_commands.json; configure the build again"; return 1; }
    key=$( (cd "$build" && eval "$command") | grep -v '^#' | cat - "$source" | sha256sum | cut -c1-32)
    [ -f "$cache/$settings-$key" ] && return 0
    if clang-tidy -p "$build" --quiet "$source" 2>"$cache/$$.err"; then
        touch "$cache/$settings-$key"
    else
        echo "lint: $source failed"
        return 1
    fi
}
export -f lint
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint "$1"' _ {}
echo "style: ${#files[@]} files formatted, ${#sources[@]} linted"
