//! Tests of the rate limiter, the backoff, the circuit breaker and the sizes of
//! transactions.

use std::time;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_provider::backoff::{BackoffSettings, RetryBackoff};
use redwing_provider::breaker::{BreakerDecision, BreakerSettings, CircuitBreaker};
use redwing_provider::builder::{FillBudget, TransactionBuilder, UnitFit};
use redwing_provider::rate_limiter::RateLimiter;
use redwing_provider::{RowKey, TableLimits, TableTransaction, TransactionSize};

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

/// Unit of so many rows, each with a value of so many bytes.
fn unit(number: usize, rows: usize, value_bytes: usize) -> TableTransaction {
    let mut unit = TableTransaction::default();
    for row in 0..rows {
        let key = RowKey::new(format!("progress/{number}-{row}"));
        unit = unit.put(key, "x".repeat(value_bytes));
    }
    unit
}

fn owner_row() -> TableTransaction {
    let key = RowKey::new("owner/jobs");
    TableTransaction::default()
        .require_version(key.clone(), 1)
        .put(key, "{}")
}

proptest! {
    #![proptest_config(config(503))]

    /// Every unit that fits into a transaction of its own is stored once and in order,
    /// in transactions within the limits, although some are refused; a transaction is
    /// never sent again as it was refused.
    #[test]
    fn backlog_drains_in_transactions_within_the_limits(
        shapes in prop::collection::vec((1usize..6, 0usize..90_000), 0..150),
        refusals in prop::collection::vec(any::<bool>(), 0..60),
    ) {
        let limits = TableLimits::default();
        let mut refusals = refusals.into_iter();
        let mut budget = FillBudget::default();
        let units = shapes.iter().enumerate();
        let mut queue: std::collections::VecDeque<TableTransaction> = units
            .map(|(number, (rows, bytes))| unit(number, *rows, *bytes))
            .collect();
        let expected: Vec<TableTransaction> = queue
            .iter()
            .filter(|unit| limits.allow_rows(&TransactionSize::of(unit)))
            .cloned()
            .collect();
        let mut done = Vec::new();
        let mut refused = Vec::new();
        while !queue.is_empty() {
            let mut builder = TransactionBuilder::new(limits, owner_row()).with_budget(budget);
            let mut taken = Vec::new();
            while let Some(next) = queue.front() {
                match builder.add(next) {
                    UnitFit::Added => taken.extend(queue.pop_front()),
                    UnitFit::Full => break,
                    UnitFit::TooLarge(size) => {
                        prop_assert!(!limits.allow_rows(&size), "{size}");
                        queue.pop_front();
                    }
                }
            }
            let count = builder.units();
            prop_assert_eq!(count, taken.len());
            let size = builder.size();
            let transaction = builder.finish();
            prop_assert_eq!(size, TransactionSize::of(&transaction));
            prop_assert!(limits.allow(&size), "{size}");
            prop_assert!(!refused.contains(&transaction));
            if count > 1 && refusals.next().unwrap_or(false) {
                budget.refused(count);
                taken.into_iter().rev().for_each(|unit| queue.push_front(unit));
                refused.push(transaction);
                continue;
            }
            budget.stored();
            done.append(&mut taken);
        }
        prop_assert_eq!(done, expected);
    }
}

proptest! {
    #![proptest_config(config(502))]

    #[test]
    fn starts_are_never_closer_than_the_interval(
        gaps in prop::collection::vec(0u64..200, 1..100),
    ) {
        let interval = time::Duration::from_millis(40);
        let mut limiter = RateLimiter::new(interval);
        let mut now = time::Instant::now();
        let mut previous: Option<time::Instant> = None;
        for gap in gaps {
            now += time::Duration::from_millis(gap);
            let start = now + limiter.reserve(now);
            if let Some(previous) = previous {
                prop_assert!(start - previous >= interval);
            }
            previous = Some(start);
        }
    }

    #[test]
    fn delays_stay_within_bounds(jitters in prop::collection::vec(0.0f64..1.0, 1..40)) {
        let settings = BackoffSettings::default();
        let mut backoff = RetryBackoff::new(settings.clone());
        for (attempt, jitter) in jitters.into_iter().enumerate() {
            let growth = 2u32.saturating_pow(u32::try_from(attempt).unwrap_or(u32::MAX));
            let bound = settings.initial_delay.saturating_mul(growth).min(settings.max_delay);
            prop_assert!(backoff.next_delay(jitter) <= bound);
        }
    }

    /// The time that attempts took counts towards the delays between them.
    #[test]
    fn delays_count_from_the_start_of_an_attempt(
        attempts in prop::collection::vec((0u64..3_000, 0.0f64..1.0), 1..40),
    ) {
        let settings = BackoffSettings::default();
        let mut backoff = RetryBackoff::new(settings.clone());
        let mut plain = RetryBackoff::new(settings.clone());
        for (elapsed, jitter) in attempts {
            let elapsed = time::Duration::from_millis(elapsed);
            let delay = backoff.delay_after(elapsed, jitter);
            prop_assert!(delay.is_zero() || elapsed < settings.max_delay);
            prop_assert_eq!(delay, plain.next_delay(jitter).saturating_sub(elapsed));
        }
    }

    /// While the breaker is open, calls are at least `min_open` apart; a success
    /// closes it whatever came before.
    #[test]
    fn open_breaker_allows_single_probes(
        steps in prop::collection::vec((1u64..100, any::<bool>(), 0.0f64..1.0), 1..200),
    ) {
        let settings = BreakerSettings::default();
        let probe_timeout = time::Duration::from_secs(1);
        let mut breaker = CircuitBreaker::new(settings.clone());
        let mut now = time::Instant::now();
        let mut last_probe: Option<time::Instant> = None;
        let mut failures = 0;
        for (gap, succeeds, jitter) in steps {
            now += time::Duration::from_millis(gap);
            if breaker.admit(now, probe_timeout) != BreakerDecision::Allow {
                prop_assert!(failures >= settings.failure_threshold);
                continue;
            }
            if failures > settings.failure_threshold
                && let Some(last) = last_probe
            {
                prop_assert!(now - last >= settings.min_open);
            }
            last_probe = Some(now);
            if succeeds && gap < 10 {
                breaker.record_success();
                failures = 0;
                prop_assert!(breaker.is_closed());
            } else {
                breaker.record_failure(now, jitter);
                failures += 1;
            }
        }
    }
}

#[test]
fn probe_without_a_result_does_not_keep_the_breaker_open() {
    let settings = BreakerSettings {
        failure_threshold: 1,
        ..BreakerSettings::default()
    };
    let probe_timeout = time::Duration::from_secs(1);
    let mut breaker = CircuitBreaker::new(settings.clone());
    let start = time::Instant::now();
    breaker.record_failure(start, 0.0);
    let probe = start + settings.min_open;
    assert_eq!(breaker.admit(probe, probe_timeout), BreakerDecision::Allow);
    let rejected = breaker.admit(probe, probe_timeout);
    assert_eq!(rejected, BreakerDecision::Reject(probe_timeout));
    let later = probe + probe_timeout;
    assert_eq!(breaker.admit(later, probe_timeout), BreakerDecision::Allow);
}
