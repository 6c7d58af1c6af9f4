#!/usr/bin/env bash
# Checks each specification exhaustively within its bounds, then checks that
# each mutation is caught. Needs spin and gcc.
set -euo pipefail
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# explore NAME MODEL FLAGS... runs the model checker and leaves its output in $out/NAME.
explore() {
  local name=$1 model=$2
  shift 2
  mkdir -p "$out/$name"
  (
    cd "$out/$name"
    spin -a "$@" "$OLDPWD/$model" >spin.log
    gcc -O2 -w -DSAFETY -DVECTORSZ=2048 -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c
    ./pan -m2000000 -w26 >pan.log 2>&1 || true
  )
}

# field NAME PATTERN prints the last match of a pattern in the output of a check.
field() { grep -oE "$2" "$out/$1/pan.log" | tail -1; }

# expect_pass NAME MODEL FLAGS... fails unless the model is verified exhaustively.
expect_pass() {
  explore "$@"
  local log=$out/$1/pan.log
  if ! grep -q 'errors: 0' "$log" || grep -qiE 'max search depth too small|out of memory|reached -DMEMLIM' "$log"; then
    echo "FAIL $1: not verified"
    cat "$log"
    exit 1
  fi
  echo "ok   $1: $(field "$1" '[0-9.e+]+ states, stored'), errors: 0"
}

# expect_caught NAME MODEL FLAGS... fails unless the checker finds an error.
expect_caught() {
  explore "$@"
  if ! grep -qE 'errors: [1-9]' "$out/$1/pan.log"; then
    echo "FAIL $1: the mutation was not caught"
    cat "$out/$1/pan.log"
    exit 1
  fi
  echo "ok   $1: caught ($(field "$1" 'assertion violated[^(]*|end state in claim reached') after $(field "$1" '[0-9.e+]+ states, stored'))"
}

expect_pass changes changes.pml
for m in NO_FIRST_ANSWER LAST_WINS REJECTION_FORGOTTEN SNAPSHOT_WITHOUT_ANSWERS; do
  expect_caught "changes-$m" changes.pml "-DMUT_$m"
done

expect_pass claims claims.pml
for m in NO_HORIZON LATE_CLAIM_IS_FREE RELEASE_AFTER_RUN ANYONE_RELEASES; do
  expect_caught "claims-$m" claims.pml "-DMUT_$m"
done

expect_pass feed feed.pml
for m in NO_MAJORITY UNSTARTED_COUNTS ONE_RELAY_IS_ENOUGH; do
  expect_caught "feed-$m" feed.pml "-DMUT_$m"
done

# The first check has three terms and two proposals among the initial voters, the
# second one the replacement of a replica with two terms and one proposal. Larger
# bounds do not finish: three terms with a replacement exceed 38 million states.
expect_pass replication-terms replication.pml -DNO_REPLACEMENT -DMAXT=3 -DMAXP=2
expect_pass replication-replacement replication.pml -DMAXT=2 -DMAXP=1
for m in NO_LOG_CHECK VOTE_NOT_SYNCED ENTRY_NOT_SYNCED; do
  expect_caught "replication-$m" replication.pml -DNO_REPLACEMENT -DMAXT=3 -DMAXP=2 "-DMUT_$m"
done
for m in LOST_DISK_VOTES DIRECT_SWAP; do
  expect_caught "replication-$m" replication.pml -DMAXT=2 -DMAXP=1 "-DMUT_$m"
done
expect_caught replication-COMMIT_OLD_TERM replication.pml -DNO_REPLACEMENT -DMAXT=4 -DMAXP=2 -DMUT_COMMIT_OLD_TERM

# Not a mutation but a progress check: an entry can be committed after the
# replacement of a replica whose disk is lost. The never claim that excludes this
# must fail.
expect_caught replication-progress-after-replacement replication.pml -DMAXT=2 -DMAXP=1 -DWITNESS
