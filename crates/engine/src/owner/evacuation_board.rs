//! Rows that show the state of evacuations to operators.
//!
//! Load pattern: several data centres are evacuated and return while owners end. A new
//! owner reads which rows exist, so that none of an evacuation that has ended stays.

use std::collections::BTreeMap;

use redwing_jobs::evacuation::{EvacuationProgress, EvacuationStatus};
use redwing_jobs::name::DataCentre;
use redwing_provider::builder::UnitFit;
use redwing_provider::{RowKey, TableRow, TableTransaction};

use crate::row;

use super::change::{ChangeFill, ChangeUnit};

/// Row to write; a status of none deletes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StatusUpdate {
    data_centre: DataCentre,
    status: Option<EvacuationStatus>,
}

/// Rows of the evacuations as stored.
#[derive(Debug, Default)]
pub(super) struct EvacuationBoard {
    /// Prefix of the rows; none if the deployment has no such rows.
    prefix: Option<String>,
    /// Status in each row; none if it is not known.
    stored: BTreeMap<DataCentre, Option<EvacuationStatus>>,
}

impl EvacuationBoard {
    pub(super) fn new(prefix: Option<&str>) -> Self {
        Self {
            prefix: prefix.map(str::to_owned),
            stored: BTreeMap::new(),
        }
    }

    /// Takes over the rows of earlier owners.
    pub(super) fn restore(&mut self, rows: &[TableRow]) {
        let Some(prefix) = &self.prefix else {
            return;
        };
        let names = rows
            .iter()
            .filter_map(|row| row.key.as_str().strip_prefix(prefix));
        self.stored = names.map(|name| (DataCentre::new(name), None)).collect();
    }

    /// Adds the rows that have changed to a change, as far as they fit; returns those that
    /// were added.
    pub(super) fn add_to(
        &self,
        fill: &mut ChangeFill,
        progress: &BTreeMap<DataCentre, EvacuationProgress>,
    ) -> Vec<StatusUpdate> {
        let updates = self.updates(progress).into_iter();
        let added = updates.filter(|update| {
            let Some((key, rows)) = self.rows(update) else {
                return false;
            };
            fill.add(ChangeUnit::Board(key), &rows) == UnitFit::Added
        });
        added.collect()
    }

    fn updates(&self, progress: &BTreeMap<DataCentre, EvacuationProgress>) -> Vec<StatusUpdate> {
        let written = progress.iter().filter_map(|(name, progress)| {
            let status = Some(EvacuationStatus::from(progress));
            (self.stored.get(name) != Some(&status)).then(|| StatusUpdate {
                data_centre: name.clone(),
                status,
            })
        });
        let ended = self
            .stored
            .keys()
            .filter(|name| !progress.contains_key(*name));
        let deleted = ended.map(|name| StatusUpdate {
            data_centre: name.clone(),
            status: None,
        });
        written.chain(deleted).collect()
    }

    fn rows(&self, update: &StatusUpdate) -> Option<(RowKey, TableTransaction)> {
        let prefix = self.prefix.as_ref()?;
        let key = RowKey::new(format!("{prefix}{}", update.data_centre));
        let rows = TableTransaction::default();
        let rows = match &update.status {
            Some(status) => rows.put(key.clone(), row::write(&key, status).ok()?),
            None => rows.delete(key.clone()),
        };
        Some((key, rows))
    }

    /// Handles that rows are stored.
    pub(super) fn stored(&mut self, updates: Vec<StatusUpdate>) {
        for update in updates {
            self.set_stored(update.data_centre, update.status);
        }
    }

    /// Leaves a row that the table does not take out until its status changes; does nothing
    /// for other rows.
    pub(super) fn set_aside(
        &mut self,
        key: &RowKey,
        progress: &BTreeMap<DataCentre, EvacuationProgress>,
    ) {
        let prefix = self.prefix.as_ref();
        let name = prefix.and_then(|prefix| key.as_str().strip_prefix(prefix));
        if let Some(data_centre) = name.map(DataCentre::new) {
            let status = progress.get(&data_centre).map(EvacuationStatus::from);
            self.set_stored(data_centre, status);
        }
    }

    fn set_stored(&mut self, data_centre: DataCentre, status: Option<EvacuationStatus>) {
        match status {
            Some(_) => self.stored.insert(data_centre, status),
            None => self.stored.remove(&data_centre),
        };
    }
}
