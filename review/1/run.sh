#!/usr/bin/env bash
# Two workers are replaced by others at the same time, shortly after a job has started on
# one of them. Checks that the job is not shown as failed, since no run of it fails.
# Writes `record.txt`; with TROUBLE=0 the disruption is left out.
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
source "$case_dir/../common.sh"

start_all --workers 12

job='{"spec":"3000","steps":[{"count":6,"cpu":1000,"memMb":100,"estimateMs":3000}]}'
submit 0 "$job"
((accepted == 1)) || cannot_run 'the job was not accepted'
sleep 0.05
# Two of the service's twelve workers crash, and 0.7 s later others are at their addresses. The
# job's subtasks are on the first one, and the second one is idle: the queue's workers are those
# of machines 13 to 24, and the owner takes free ones in the order of their ids as texts.
add_faults '[[fault]]
effect = "replace"
machine = 13
from-seconds = 0
down-ms = 700

[[fault]]
effect = "replace"
machine = 14
from-seconds = 0
down-ms = 700'
for _ in {1..12}; do
    sleep 1
    call GET "${callers[1]}/annex/$(job_id 0)"
done
read_state
"$tool" judge all "$scratch/state.json" >>"$record" 2>&1
case $reply in
*'"failed"'*)
    # Only ends `failed` count as attempts; the job's queue permits four.
    failed_runs=$(grep -c ': failed, ' "$record")
    note "LOST the job is shown as failed; $failed_runs of its runs have failed"
    echo "the job is shown as failed; $failed_runs of its runs have failed"
    ((failed_runs < 4)) && finish 1
    ;;
*'"completed"'*) echo 'the job is completed' ;;
*) cannot_run "the job has not ended: $reply" ;;
esac
finish 0
