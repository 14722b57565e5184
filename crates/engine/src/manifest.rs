//! Manifest, waves and evacuations of the operators, with their freshness.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use redwing_jobs::JobManifest;
use redwing_jobs::maintenance::WaveRequest;
use redwing_jobs::name::DataCentre;
use redwing_jobs::time::BootTime;
use redwing_provider::{CallCause, TableClient};
use tokio::sync::watch;

use crate::clock;
use crate::codec::{DeploymentCodec, OperatorRow};
use crate::event;
use crate::follow;
use crate::log_job_event;
use crate::metrics::JobMetrics;

/// Maximum time that the table waits for a change of operator rows; shorter than
/// [`follow::WATCH_TIMEOUT`], because requests are admitted only with a recently
/// confirmed view.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Manifest, waves and evacuations of the operators, as last read by this process.
#[derive(Clone, Debug, Default)]
pub struct OperatorView {
    /// Manifest with the highest version; none until one has been read.
    pub manifest: Option<sync::Arc<JobManifest>>,
    /// All waves of maintenance.
    pub waves: sync::Arc<Vec<WaveRequest>>,
    /// Data centres that are evacuated.
    pub evacuations: sync::Arc<BTreeSet<DataCentre>>,
    /// When the latest successful read was sent.
    pub confirmed_at: BootTime,
}

impl OperatorView {
    /// Returns whether the rows were read.
    pub fn is_read(&self) -> bool {
        self.confirmed_at > BootTime::default()
    }

    /// Returns the time since the latest successful read was sent.
    pub fn age(&self) -> time::Duration {
        clock::boot_now().saturating_since(self.confirmed_at)
    }

    /// Applies rows; a manifest never replaces one with a higher version. Evacuations are
    /// exactly those of a complete read.
    pub fn apply(&mut self, codec: &dyn DeploymentCodec, update: &follow::TableUpdate) {
        if update.is_complete && !self.evacuations.is_empty() {
            self.evacuations = sync::Arc::default();
        }
        for row in &update.rows {
            if let Some(data_centre) = codec.evacuated_data_centre(&row.key) {
                self.set_evacuated(data_centre, row.value.is_some());
                continue;
            }
            if row.value.is_none() {
                continue;
            }
            match codec.operator_row(row) {
                Ok(OperatorRow::Manifest(manifest)) => self.install(*manifest),
                Ok(OperatorRow::Wave(wave)) => self.add_wave(wave),
                Ok(OperatorRow::Other) => {}
                Err(error) => follow::log_malformed(&row.key, &error),
            }
        }
        self.confirmed_at = update.requested_at;
    }

    fn install(&mut self, manifest: JobManifest) {
        let version = manifest.version();
        let is_newer = self
            .manifest
            .as_ref()
            .is_none_or(|current| version > current.version());
        if is_newer {
            log_job_event!(info, event::MANIFEST_INSTALLED, version = version);
            self.manifest = Some(sync::Arc::new(manifest));
        }
    }

    fn set_evacuated(&mut self, data_centre: DataCentre, is_evacuated: bool) {
        let evacuations = sync::Arc::make_mut(&mut self.evacuations);
        if is_evacuated {
            evacuations.insert(data_centre);
        } else {
            evacuations.remove(&data_centre);
        }
    }

    fn add_wave(&mut self, wave: WaveRequest) {
        let waves = sync::Arc::make_mut(&mut self.waves);
        waves.retain(|listed| listed.number != wave.number);
        waves.push(wave);
    }
}

/// Starts to follow the operator rows; ends once all receivers are closed.
pub fn follow_operators(
    client: &TableClient,
    codec: sync::Arc<dyn DeploymentCodec>,
    metrics: JobMetrics,
) -> watch::Receiver<OperatorView> {
    let (sender, receiver) = watch::channel(OperatorView::default());
    let mut updates = follow::follow(
        client,
        CallCause::Configuration,
        codec.operator_prefix(),
        None,
        WATCH_TIMEOUT,
    );
    tokio::task::spawn_local(async move {
        while let Some(update) = updates.recv().await {
            if sender.is_closed() {
                return;
            }
            sender.send_modify(|view| {
                view.apply(codec.as_ref(), &update);
                if let Some(manifest) = &view.manifest {
                    metrics.set_manifest_version(manifest.version());
                }
            });
        }
    });
    receiver
}
