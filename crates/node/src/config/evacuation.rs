//! Changes that evacuate data centres, without I/O.

use std::collections::{BTreeMap, BTreeSet};

use redwing_model::admin::ChangeKind;
use redwing_model::evacuation::{self, EvacuationVerdict};
use redwing_model::{DataCentre, PoolName};

use crate::config::row::EvacuationRecord;

/// Evacuations in force, by data centre.
pub type EvacuationTable = BTreeMap<DataCentre, EvacuationRecord>;

/// Number of VMs of each pool in each data centre.
pub type VmPlaces = evacuation::FleetPlaces<PoolName, DataCentre>;

/// Decides whether a change of an evacuation may be made, with the reason if not; other
/// changes are allowed.
pub fn check(
    kind: &ChangeKind,
    places: &VmPlaces,
    evacuations: &EvacuationTable,
) -> (EvacuationVerdict, String) {
    let evacuated: BTreeSet<&DataCentre> = evacuations.keys().collect();
    let (data_centre, verdict) = match kind {
        ChangeKind::Evacuate { data_centre, also } => {
            let verdict = evacuation::check_begin(data_centre, *also, places, &evacuated);
            (data_centre, verdict)
        }
        ChangeKind::UndoEvacuation { data_centre } => {
            let verdict = evacuation::check_undo(data_centre, places, &evacuated);
            (data_centre, verdict)
        }
        _ => return (EvacuationVerdict::Allowed, String::new()),
    };
    let mut reason = evacuation::explain(verdict, data_centre, places, &evacuated);
    if let (EvacuationVerdict::Unchanged, Some(record)) = (verdict, evacuations.get(data_centre)) {
        let (operator, version) = (&record.operator, record.version);
        reason.push_str(&format!("; by {operator} with version {version}"));
    }
    (verdict, reason)
}

/// Returns what an operator should know about an evacuation that is carried out.
pub fn consequence(
    kind: &ChangeKind,
    places: &VmPlaces,
    evacuations: &EvacuationTable,
) -> Option<String> {
    let ChangeKind::Evacuate { data_centre, .. } = kind else {
        return None;
    };
    evacuation::consequence(data_centre, places, &evacuations.keys().collect())
}

/// Returns that a change which took effect earlier was reversed by a later one, if it was.
pub fn reversal(kind: &ChangeKind, evacuations: &EvacuationTable) -> Option<String> {
    match kind {
        ChangeKind::Evacuate { data_centre, .. } if !evacuations.contains_key(data_centre) => {
            Some("a later change has undone the evacuation".to_owned())
        }
        ChangeKind::UndoEvacuation { data_centre } => {
            let record = evacuations.get(data_centre)?;
            let version = record.version;
            Some(format!("evacuated again since, with version {version}"))
        }
        _ => None,
    }
}
