//! Manifests, steps and names that tests use.

use redwing_jobs::manifest::{
    CallerAddress, CustomerPolicy, JobManifest, ManifestParts, PoolPolicy, QueuePolicy,
};
use redwing_jobs::name::{CustomerName, PoolName, QueueName};
use redwing_jobs::spec::{ResourceAmount, StepSpec};
use redwing_jobs::{JobId, TaskId};

/// Returns a manifest whose customer has no limit.
pub(crate) fn manifest() -> JobManifest {
    manifest_with_limit(0)
}

/// Returns a manifest whose customer may use `cpu_millis`; 0 means no limit.
pub(crate) fn manifest_with_limit(cpu_millis: u64) -> JobManifest {
    JobManifest::from(manifest_parts_with_limit(cpu_millis))
}

/// Returns the parts of [`manifest_with_limit`].
pub(crate) fn manifest_parts_with_limit(cpu_millis: u64) -> ManifestParts {
    let queue = |name: &str, pool: &str| QueuePolicy {
        name: QueueName::new(name),
        address: CallerAddress {
            host: "jobs.example".to_owned(),
            path_prefix: format!("/{name}/"),
        },
        pool: PoolName::new(pool),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        objective_ms: 600,
        is_public: false,
        is_advised: false,
    };
    ManifestParts {
        version: 1,
        queues: vec![queue("reports", "builders"), queue("labels", "printers")],
        customers: vec![
            CustomerPolicy {
                name: CustomerName::new("housing"),
                keys: vec!["secret".to_owned()],
                weight: 1.0,
                limit: ResourceAmount {
                    cpu_millis,
                    ..ResourceAmount::default()
                },
            },
            CustomerPolicy {
                name: CustomerName::new("portal"),
                keys: vec!["other".to_owned()],
                weight: 3.0,
                limit: ResourceAmount::default(),
            },
        ],
        pools: ["builders", "printers"]
            .map(|name| PoolPolicy {
                name: PoolName::new(name),
                is_standby: false,
                enforces_capacity: false,
                cold_start_ms: 0,
            })
            .to_vec(),
    }
}

/// Returns a step of `count` tasks that need `cpu_millis` each.
pub(crate) fn step_spec(count: u32, cpu_millis: u64) -> StepSpec {
    StepSpec {
        count,
        needs: ResourceAmount {
            cpu_millis,
            memory_mb: 100,
            accelerators: 0,
        },
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

pub(crate) fn task_id(job: &JobId, step: u32, index: u32) -> TaskId {
    TaskId {
        job: job.clone(),
        occurrence: 0,
        step,
        index,
    }
}
