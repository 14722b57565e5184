//! Checks of load files: each field has a range of values that it may have.

use std::collections::BTreeSet;

use crate::error::{Error, Result};
use crate::load::{
    Count, FloodLoad, LoadFile, LostRack, PoolLoad, QueueLoad, SlowTable, StepLoad, TrafficLoad,
};

/// Longest simulated time, in seconds.
const MAX_SECONDS: f64 = 3_600.0;

/// Largest number of workers in all pools.
const MAX_WORKERS: i64 = 20_000;

/// Largest number of jobs that may be expected to arrive.
const MAX_JOBS: f64 = 2_000_000.0;

impl LoadFile {
    /// Checks that each value is supported.
    ///
    /// # Errors
    ///
    /// Fails with the first field whose value is not, and with the values that are.
    pub fn check(&self) -> Result<()> {
        check_number("seconds", self.seconds, 1.0, MAX_SECONDS)?;
        check_number("drain-seconds", self.drain_seconds, 0.0, MAX_SECONDS)?;
        self.check_fleet()?;
        self.check_manifest()?;
        check_length("traffic", self.traffic.len(), 1, 10_000)?;
        for (number, traffic) in self.traffic.iter().enumerate() {
            self.check_traffic(&format!("traffic[{number}]"), traffic)?;
        }
        self.check_changes()?;
        let expected = self.expected_jobs();
        if expected > MAX_JOBS {
            let problem = format!("{expected:.0} jobs are expected; use at most {MAX_JOBS:.0}");
            return Err(Error::field("traffic", problem));
        }
        Ok(())
    }

    /// Returns the mean number of arrivals; the turns of the queues count as equal.
    fn expected_jobs(&self) -> f64 {
        let queues = self.queues.len() as f64;
        let turns = self.turns.as_ref();
        let turn = turns.map_or(1.0, |turns| {
            (turns.surge + turns.lull * (queues - 1.0)) / queues
        });
        let jobs = self.traffic.iter().map(|traffic| {
            let floods = self.floods.iter().filter(|flood| flood.applies_to(traffic));
            let extra = floods.map(|flood| {
                let seconds = flood.to_seconds.min(self.seconds) - flood.from_seconds;
                seconds.max(0.0) * (flood.factor - 1.0)
            });
            traffic.rate * turn * (self.seconds + extra.sum::<f64>())
        });
        jobs.sum()
    }

    fn check_fleet(&self) -> Result<()> {
        let fleet = &self.fleet;
        check_count("fleet.entry-vms", fleet.entry_vms, 1, 1_000)?;
        check_number("fleet.move-seconds", fleet.move_seconds, 0.0, 600.0)?;
        check_count("fleet.order-ms", fleet.order_ms, 0, 1_000)?;
        check_count("fleet.table-ms", fleet.table_ms, 0, 10_000)?;
        check_count("fleet.publish-ms", fleet.publish_ms, 5, 60_000)?;
        check_length("pools", self.pools.len(), 1, 200)?;
        check_names("pools", self.pools.iter().map(|pool| pool.name.as_str()))?;
        for (number, pool) in self.pools.iter().enumerate() {
            check_pool(&format!("pools[{number}]"), pool)?;
        }
        let workers: i64 = self.pools.iter().map(|pool| pool.workers.0).sum();
        check_count(
            "pools: workers of all pools",
            Count(workers),
            1,
            MAX_WORKERS,
        )
    }

    fn check_manifest(&self) -> Result<()> {
        check_length("queues", self.queues.len(), 1, 1_000)?;
        check_names(
            "queues",
            self.queues.iter().map(|queue| queue.name.as_str()),
        )?;
        for (number, queue) in self.queues.iter().enumerate() {
            self.check_queue(&format!("queues[{number}]"), queue)?;
        }
        check_length("customers", self.customers.len(), 1, 5_000)?;
        let customers = self.customers.iter();
        check_names(
            "customers",
            customers.map(|customer| customer.name.as_str()),
        )?;
        for (number, customer) in self.customers.iter().enumerate() {
            let field = format!("customers[{number}].limit-cpu-millis");
            check_count(&field, customer.limit_cpu_millis, 0, 1_000_000_000)?;
        }
        let manifest = self.manifest();
        manifest
            .check()
            .map_err(|error| Error::field("customers", error.to_string()))
    }

    fn check_queue(&self, prefix: &str, queue: &QueueLoad) -> Result<()> {
        let pools = self.pools.iter().map(|pool| pool.name.as_str());
        check_reference(&format!("{prefix}.pool"), &queue.pool, pools)?;
        check_count(&format!("{prefix}.priority"), queue.priority, 0, 1_000)?;
        let objective = format!("{prefix}.objective-ms");
        check_count(&objective, queue.objective_ms, 0, 3_600_000)?;
        check_number(&format!("{prefix}.stretch"), queue.stretch, 0.0, 1_000.0)
    }

    fn check_traffic(&self, prefix: &str, traffic: &TrafficLoad) -> Result<()> {
        let queues = self.queues.iter().map(|queue| queue.name.as_str());
        check_reference(&format!("{prefix}.queue"), &traffic.queue, queues)?;
        self.check_customer(&format!("{prefix}.customer"), &traffic.customer)?;
        check_number(&format!("{prefix}.rate"), traffic.rate, 0.0, 100_000.0)?;
        check_length(&format!("{prefix}.steps"), traffic.steps.len(), 1, 64)?;
        for (number, step) in traffic.steps.iter().enumerate() {
            check_step(&format!("{prefix}.steps[{number}]"), step)?;
        }
        let spec = traffic.spec();
        spec.check()
            .map_err(|error| Error::field(prefix, error.to_string()))
    }

    fn check_customer(&self, field: &str, name: &str) -> Result<()> {
        let customers = self.customers.iter();
        check_reference(
            field,
            name,
            customers.map(|customer| customer.name.as_str()),
        )
    }

    /// Checks what changes during the experiment.
    fn check_changes(&self) -> Result<()> {
        if let Some(turns) = &self.turns {
            check_number(
                "turns.period-seconds",
                turns.period_seconds,
                0.1,
                MAX_SECONDS,
            )?;
            check_number("turns.surge", turns.surge, 0.0, 100.0)?;
            check_number("turns.lull", turns.lull, 0.0, 100.0)?;
        }
        for (number, flood) in self.floods.iter().enumerate() {
            self.check_flood(&format!("floods[{number}]"), flood)?;
        }
        for (number, lost) in self.lost_racks.iter().enumerate() {
            self.check_lost_rack(&format!("lost-racks[{number}]"), lost)?;
        }
        for (number, slow) in self.slow_table.iter().enumerate() {
            check_slow_table(&format!("slow-table[{number}]"), slow)?;
        }
        check_count("callers.retries", self.callers.retries, 0, 100)
    }

    fn check_flood(&self, prefix: &str, flood: &FloodLoad) -> Result<()> {
        self.check_customer(&format!("{prefix}.customer"), &flood.customer)?;
        if !flood.queue.is_empty() {
            let queues = self.queues.iter().map(|queue| queue.name.as_str());
            check_reference(&format!("{prefix}.queue"), &flood.queue, queues)?;
        }
        check_number(&format!("{prefix}.factor"), flood.factor, 0.0, 10_000.0)?;
        check_period(prefix, flood.from_seconds, flood.to_seconds)
    }

    fn check_lost_rack(&self, prefix: &str, lost: &LostRack) -> Result<()> {
        let pools = self.pools.iter().map(|pool| pool.name.as_str());
        check_reference(&format!("{prefix}.pool"), &lost.pool, pools)?;
        let mut pools = self.pools.iter();
        let pool = pools.find(|pool| pool.name == lost.pool);
        let racks = pool.map_or(1, |pool| pool.racks.0);
        check_count(&format!("{prefix}.rack"), lost.rack, 0, racks - 1)?;
        check_number(
            &format!("{prefix}.from-seconds"),
            lost.from_seconds,
            0.0,
            MAX_SECONDS,
        )?;
        check_number(
            &format!("{prefix}.for-seconds"),
            lost.for_seconds,
            0.1,
            MAX_SECONDS,
        )
    }
}

fn check_pool(prefix: &str, pool: &PoolLoad) -> Result<()> {
    check_count(&format!("{prefix}.workers"), pool.workers, 0, MAX_WORKERS)?;
    check_count(
        &format!("{prefix}.cpu-millis"),
        pool.cpu_millis,
        1,
        1_000_000,
    )?;
    check_count(
        &format!("{prefix}.memory-mb"),
        pool.memory_mb,
        1,
        100_000_000,
    )?;
    check_count(&format!("{prefix}.racks"), pool.racks, 1, 1_000)
}

fn check_step(prefix: &str, step: &StepLoad) -> Result<()> {
    check_count(&format!("{prefix}.tasks"), step.tasks, 1, 600)?;
    check_count(
        &format!("{prefix}.cpu-millis"),
        step.cpu_millis,
        0,
        1_000_000,
    )?;
    check_count(
        &format!("{prefix}.memory-mb"),
        step.memory_mb,
        0,
        100_000_000,
    )?;
    check_count(
        &format!("{prefix}.estimate-ms"),
        step.estimate_ms,
        1,
        100_000,
    )?;
    check_number(
        &format!("{prefix}.duration-spread"),
        step.duration_spread,
        0.0,
        0.9,
    )
}

fn check_slow_table(prefix: &str, slow: &SlowTable) -> Result<()> {
    check_count(&format!("{prefix}.delay-ms"), slow.delay_ms, 0, 60_000)?;
    check_period(prefix, slow.from_seconds, slow.to_seconds)
}

fn check_period(prefix: &str, from: f64, to: f64) -> Result<()> {
    check_number(&format!("{prefix}.from-seconds"), from, 0.0, MAX_SECONDS)?;
    check_number(&format!("{prefix}.to-seconds"), to, from, MAX_SECONDS)
}

fn check_number(field: &str, value: f64, min: f64, max: f64) -> Result<()> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let problem = format!("{value}; use a number from {min} to {max}");
    Err(Error::field(field, problem))
}

fn check_count(field: &str, value: Count, min: i64, max: i64) -> Result<()> {
    if (min..=max).contains(&value.0) {
        return Ok(());
    }
    let problem = format!("{}; use a whole number from {min} to {max}", value.0);
    Err(Error::field(field, problem))
}

fn check_length(field: &str, length: usize, min: usize, max: usize) -> Result<()> {
    if (min..=max).contains(&length) {
        return Ok(());
    }
    let problem = format!("{length} entries; use {min} to {max}");
    Err(Error::field(field, problem))
}

fn check_names<'a>(field: &str, names: impl Iterator<Item = &'a str>) -> Result<()> {
    let mut known = BTreeSet::new();
    for (number, name) in names.enumerate() {
        let is_usable = !name.is_empty() && name.len() <= 100;
        if !is_usable || !known.insert(name) {
            let problem = format!("{name:?}; use 1 to 100 bytes and each name once");
            return Err(Error::field(format!("{field}[{number}].name"), problem));
        }
    }
    Ok(())
}

fn check_reference<'a>(
    field: &str,
    name: &str,
    mut names: impl Iterator<Item = &'a str>,
) -> Result<()> {
    if names.any(|known| known == name) {
        return Ok(());
    }
    let problem = format!("{name:?}; use a name that the file declares");
    Err(Error::field(field, problem))
}
