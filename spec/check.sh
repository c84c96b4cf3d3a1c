#!/usr/bin/env bash
# Verifies the specifications with spin. With --mutants, checks that spin finds
# an error in each variant, which has a single fault. Exits with 0 if all pass.
set -uo pipefail
cd "$(dirname "$0")"

if ! command -v spin >/dev/null; then
  echo "spin is not installed" >&2
  exit 1
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Limits of the state space for each specification.
declare -A bounds=([quota]="-DWRITES=3 -DFAULTS=1" [payment]="" [rollout]="" [permit]="")
# Limits for mutants whose fault is not reached within the limits above.
declare -A mutant_bounds=([quota-2]="-DWRITES=2 -DFAULTS=0 -DHIGH=4 -DLOW=2")
declare -A mutants=([quota]=12 [payment]=9 [rollout]=3 [permit]=4)

# explore SPEC MUTANT OPTIONS... runs the verifier and prints the number of
# errors, the number of states, and "complete" or "cut" for the search.
explore() {
  local spec=$1 mutant=$2 dir
  shift 2
  dir="$work/$spec-$mutant"
  mkdir -p "$dir"
  cp "$spec.pml" "$dir/"
  (
    cd "$dir" || exit 1
    spin -a "-DMUTANT=$mutant" "$@" "$spec.pml" >/dev/null &&
      gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c &&
      ./pan -E -m400000 -w24 >out.txt 2>&1
    awk '
      /errors:/ {errors = $NF}
      /states, stored/ {states = $1}
      /max search depth too small/ {cut = 1}
      END {print (errors == "" ? "failed" : errors), states + 0, (cut ? "cut" : "complete")}' out.txt
  )
}
export -f explore
export work

failed=0
if [ "${1:-}" = "--mutants" ]; then
  jobs=()
  for spec in quota payment rollout permit; do
    for mutant in $(seq 1 "${mutants[$spec]}"); do
      jobs+=("$spec $mutant ${mutant_bounds[$spec-$mutant]:-${bounds[$spec]}}")
    done
  done
  while read -r spec mutant errors states _; do
    if [ "$errors" = 1 ]; then
      echo "caught: $spec mutant $mutant after $states states"
    else
      echo "NOT CAUGHT: $spec mutant $mutant ($errors errors, $states states)"
      failed=1
    fi
  done < <(printf '%s\n' "${jobs[@]}" | xargs -P 4 -I{} bash -c 'set -- {}; echo "$1 $2 $(explore "$@")"' | sort -k1,1 -k2,2n)
else
  while read -r spec errors states complete; do
    echo "$spec: $errors errors, $states states, search $complete, bounds ${bounds[$spec]:-as written}"
    if [ "$errors" != 0 ] || [ "$complete" != complete ] || [ "$states" -lt 1000 ]; then
      failed=1
    fi
  done < <(for spec in quota payment rollout permit; do
    echo "$spec $(explore "$spec" 0 ${bounds[$spec]})"
  done)
fi
exit "$failed"
