//! Decisions on changes that evacuate data centres, without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use redwing_model::admin::ChangeKind;
use redwing_model::{DataCentre, PoolName};

use crate::config::row::EvacuationRecord;

/// Evacuations in force, by data centre.
pub type EvacuationTable = BTreeMap<DataCentre, EvacuationRecord>;

/// Number of VMs of each pool in each data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetPlaces {
    pools: BTreeMap<PoolName, BTreeMap<DataCentre, u32>>,
}

impl FleetPlaces {
    /// Counts VMs by their pools and data centres.
    pub fn new<'a>(vms: impl IntoIterator<Item = (&'a PoolName, &'a DataCentre)>) -> Self {
        let mut places = Self::default();
        for (pool, data_centre) in vms {
            let counts = places.pools.entry(pool.clone()).or_default();
            *counts.entry(data_centre.clone()).or_default() += 1;
        }
        places
    }

    /// Returns the data centres that have VMs.
    pub fn data_centres(&self) -> BTreeSet<&DataCentre> {
        self.pools.values().flat_map(BTreeMap::keys).collect()
    }

    /// Returns the number of VMs in a data centre.
    pub fn vms(&self, data_centre: &DataCentre) -> u32 {
        let counts = self.pools.values();
        counts.filter_map(|counts| counts.get(data_centre)).sum()
    }

    /// Returns the pools that have VMs in a data centre, and no VM in one that is not
    /// evacuated.
    fn confined_pools(
        &self,
        data_centre: &DataCentre,
        evacuations: &EvacuationTable,
    ) -> Vec<&PoolName> {
        let is_evacuated =
            |name: &DataCentre| name == data_centre || evacuations.contains_key(name);
        let pools = self.pools.iter();
        let confined = pools.filter(|(_, counts)| {
            counts.contains_key(data_centre) && counts.keys().all(is_evacuated)
        });
        confined.map(|(pool, _)| pool).collect()
    }
}

/// Whether a change of an evacuation may be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationVerdict {
    /// It may be made.
    Allowed,
    /// What it requests is in force already.
    Unchanged(String),
    /// No VM is in the data centre.
    UnknownDataCentre(String),
    /// It would leave too little.
    Disallowed(String),
    /// The process has not read the VMs yet.
    PlacesUnread,
}

/// Decides whether a change of an evacuation may be made; other changes are allowed.
pub fn check(
    kind: &ChangeKind,
    places: &FleetPlaces,
    evacuations: &EvacuationTable,
) -> EvacuationVerdict {
    match kind {
        ChangeKind::Evacuate { data_centre, also } => {
            check_evacuation(data_centre, *also, places, evacuations)
        }
        ChangeKind::UndoEvacuation { data_centre } => {
            if evacuations.contains_key(data_centre) {
                return EvacuationVerdict::Allowed;
            }
            if !places.data_centres().contains(data_centre) {
                return unknown(data_centre, places);
            }
            let detail = format!("data centre {data_centre} is not evacuated; nothing changed");
            EvacuationVerdict::Unchanged(detail)
        }
        _ => EvacuationVerdict::Allowed,
    }
}

fn check_evacuation(
    data_centre: &DataCentre,
    also: bool,
    places: &FleetPlaces,
    evacuations: &EvacuationTable,
) -> EvacuationVerdict {
    if let Some(record) = evacuations.get(data_centre) {
        return EvacuationVerdict::Unchanged(format!(
            "data centre {data_centre} is evacuated already, by {} with version {}; \
             nothing changed",
            record.operator, record.version
        ));
    }
    let known = places.data_centres();
    if known.is_empty() {
        return EvacuationVerdict::PlacesUnread;
    }
    if !known.contains(data_centre) {
        return unknown(data_centre, places);
    }
    let is_open = |name: &&&DataCentre| **name != data_centre && !evacuations.contains_key(**name);
    if known.iter().filter(is_open).count() == 0 {
        return EvacuationVerdict::Disallowed(format!(
            "data centre {data_centre} is the last one that is not evacuated"
        ));
    }
    if !evacuations.is_empty() && !also {
        return EvacuationVerdict::Disallowed(format!(
            "evacuated already: {}; repeat with `also` to evacuate {data_centre} as well",
            listed(evacuations.keys())
        ));
    }
    EvacuationVerdict::Allowed
}

fn unknown(data_centre: &DataCentre, places: &FleetPlaces) -> EvacuationVerdict {
    EvacuationVerdict::UnknownDataCentre(format!(
        "no VM is in data centre {data_centre}; VMs are in: {}",
        listed(places.data_centres())
    ))
}

/// Returns what an operator should know about an evacuation that is carried out: pools
/// whose requests have no other VM.
pub fn consequence(
    kind: &ChangeKind,
    places: &FleetPlaces,
    evacuations: &EvacuationTable,
) -> Option<String> {
    let ChangeKind::Evacuate { data_centre, .. } = kind else {
        return None;
    };
    let pools = places.confined_pools(data_centre, evacuations);
    if pools.is_empty() {
        return None;
    }
    Some(format!(
        "no VM elsewhere has: {}; requests of these pools wait until VMs have moved there",
        listed(pools)
    ))
}

/// Returns that a change which took effect earlier was reversed by a later one, if it was.
pub fn reversal(kind: &ChangeKind, evacuations: &EvacuationTable) -> Option<String> {
    match kind {
        ChangeKind::Evacuate { data_centre, .. } if !evacuations.contains_key(data_centre) => {
            Some("a later change has undone the evacuation".to_owned())
        }
        ChangeKind::UndoEvacuation { data_centre } => {
            let record = evacuations.get(data_centre)?;
            Some(format!(
                "evacuated again since, with version {}",
                record.version
            ))
        }
        _ => None,
    }
}

/// Returns names separated by commas.
fn listed<T: fmt::Display>(names: impl IntoIterator<Item = T>) -> String {
    let names = names.into_iter().map(|name| name.to_string());
    names.collect::<Vec<_>>().join(", ")
}
