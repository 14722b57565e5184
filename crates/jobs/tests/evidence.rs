//! Evidence that the ends of workers are against the tasks on them.

use std::time;

use redwing_jobs::evidence::{CrashEvidence, EndRate, EndVerdict, RunSpan};
use rstest::rstest;

/// One end a minute in a pool of twelve workers.
const CALM: EndRate = EndRate {
    per_second: 2.0 / 720.0,
    at_most_per_second: 2.0 / 720.0,
    ends: 1,
};

/// One end a second in the same pool.
const STORM: EndRate = EndRate {
    per_second: 61.0 / 720.0,
    at_most_per_second: 61.0 / 720.0,
    ends: 60,
};

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Returns a run that was seen for so long, on a worker that was heard all the time.
fn span(seen: Option<u64>, at_most: Option<u64>) -> RunSpan {
    RunSpan {
        seen: seen.map(millis),
        at_most: at_most.map(millis),
        unheard: Some(millis(50)),
    }
}

fn evidence(span: &RunSpan, rate: EndRate, count: usize) -> CrashEvidence {
    let verdicts = (0..count).map(|_| EndVerdict::new(span, rate));
    verdicts.fold(CrashEvidence::default(), CrashEvidence::with)
}

/// Guards against long-running jobs that are given up for workers that ended after seconds.
#[rstest]
#[case(CALM, 12_000)]
#[case(STORM, 1_000)]
fn a_run_that_went_on_for_long_clears_its_task(#[case] rate: EndRate, #[case] seen: u64) {
    let short = evidence(&span(Some(0), Some(30)), rate, 1);
    let verdict = EndVerdict::new(&span(Some(seen), Some(seen + 80)), rate);
    assert_eq!(verdict, EndVerdict::Cleared);
    assert_eq!(short.with(verdict), CrashEvidence::default());
}

/// Guards against tasks that crash their workers and are started more than five times.
#[rstest]
#[case(CALM, 2)]
#[case(STORM, 4)]
fn a_task_that_crashes_its_workers_at_once_is_soon_given_up(
    #[case] rate: EndRate,
    #[case] crashes: usize,
) {
    let deadly = span(Some(0), Some(30));
    assert!(!evidence(&deadly, rate, crashes - 1).is_conclusive(rate, true));
    assert!(evidence(&deadly, rate, crashes).is_conclusive(rate, true));
}

/// Guards against jobs beside such a task that are given up for its crashes.
#[test]
fn a_task_beside_others_is_given_up_later() {
    let deadly = span(Some(0), Some(30));
    assert!(!evidence(&deadly, CALM, 3).is_conclusive(CALM, false));
    assert!(evidence(&deadly, CALM, 4).is_conclusive(CALM, false));
}

/// Guards against tasks that are never given up because each owner sees a part of a run only.
#[test]
fn five_ends_under_runs_of_unknown_length_are_enough() {
    let unknown = RunSpan::default();
    assert!(!evidence(&unknown, CALM, 4).is_conclusive(CALM, true));
    assert!(evidence(&unknown, CALM, 5).is_conclusive(CALM, true));
}

/// Guards against starts that count against their task although their worker had ended
/// before, unnoticed because it was idle.
#[test]
fn a_start_on_a_worker_unheard_for_long_says_nothing() {
    let span = RunSpan {
        unheard: Some(millis(20_000)),
        ..span(None, Some(200))
    };
    assert_eq!(EndVerdict::new(&span, CALM), EndVerdict::Neutral);
    assert_eq!(evidence(&span, CALM, 9), CrashEvidence::default());
}

#[test]
fn an_end_that_was_counted_is_taken_back() {
    let verdicts = [
        EndVerdict::Measured(millis(30)),
        EndVerdict::Measured(millis(700)),
        EndVerdict::Unmeasured,
    ];
    let evidence = verdicts
        .into_iter()
        .fold(CrashEvidence::default(), CrashEvidence::with);
    let left = verdicts.into_iter().fold(evidence, CrashEvidence::without);
    assert_eq!(left, CrashEvidence::default());
}

#[test]
fn evidence_is_stored_as_one_number() {
    let evidence = evidence(&span(Some(0), Some(30)), CALM, 2).with(EndVerdict::Unmeasured);
    let text = serde_json::to_string(&evidence).expect("it is encoded");
    assert_eq!(text, "3012");
    let read: CrashEvidence = serde_json::from_str(&text).expect("it is decoded");
    assert_eq!(read, evidence);
}
