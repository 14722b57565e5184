//! Decisions on the evacuation of data centres, without I/O.
//!
//! They are the same for the request path and for jobs, whose names of pools and data
//! centres have different types.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Number of VMs or workers of each pool in each data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetPlaces<P, D> {
    pools: BTreeMap<P, BTreeMap<D, u32>>,
}

impl<P, D> Default for FleetPlaces<P, D> {
    fn default() -> Self {
        let pools = BTreeMap::new();
        Self { pools }
    }
}

impl<P: Clone + Ord, D: Clone + Ord> FleetPlaces<P, D> {
    /// Counts VMs or workers by their pools and data centres.
    pub fn new<'a>(members: impl IntoIterator<Item = (&'a P, &'a D)>) -> Self
    where
        P: 'a,
        D: 'a,
    {
        let mut places = Self::default();
        for (pool, data_centre) in members {
            places.add(pool, data_centre);
        }
        places
    }

    /// Counts one more VM or worker.
    pub fn add(&mut self, pool: &P, data_centre: &D) {
        let counts = self.pools.entry(pool.clone()).or_default();
        *counts.entry(data_centre.clone()).or_default() += 1;
    }

    /// Returns the data centres that have members.
    pub fn data_centres(&self) -> BTreeSet<&D> {
        self.pools.values().flat_map(BTreeMap::keys).collect()
    }

    /// Returns the number of members in a data centre.
    pub fn count(&self, data_centre: &D) -> u32 {
        let counts = self.pools.values();
        counts.filter_map(|counts| counts.get(data_centre)).sum()
    }

    /// Returns the pools that have members in a data centre, and none in one that is not
    /// evacuated.
    pub fn confined_pools(&self, data_centre: &D, evacuated: &BTreeSet<&D>) -> Vec<&P> {
        let is_evacuated = |name: &D| name == data_centre || evacuated.contains(name);
        let pools = self.pools.iter();
        let confined = pools.filter(|(_, counts)| {
            counts.contains_key(data_centre) && counts.keys().all(is_evacuated)
        });
        confined.map(|(pool, _)| pool).collect()
    }
}

/// Whether an evacuation may begin or end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationVerdict {
    /// It may.
    Allowed,
    /// The data centre is in that state already.
    Unchanged,
    /// Nothing is in a data centre of this name.
    Unknown,
    /// It is the last data centre that is not evacuated.
    Last,
    /// Another one is evacuated, and the operator did not expect that.
    Second,
    /// Where the members of the fleet are is not known yet.
    PlacesUnread,
}

/// Decides whether `data_centre` may be evacuated; `also` states that the operator expects
/// that others are evacuated.
pub fn check_begin<P: Clone + Ord, D: Clone + Ord>(
    data_centre: &D,
    also: bool,
    places: &FleetPlaces<P, D>,
    evacuated: &BTreeSet<&D>,
) -> EvacuationVerdict {
    if evacuated.contains(data_centre) {
        return EvacuationVerdict::Unchanged;
    }
    let known = places.data_centres();
    if known.is_empty() {
        return EvacuationVerdict::PlacesUnread;
    }
    if !known.contains(data_centre) {
        return EvacuationVerdict::Unknown;
    }
    if known.difference(evacuated).count() == 1 {
        return EvacuationVerdict::Last;
    }
    if !evacuated.is_empty() && !also {
        return EvacuationVerdict::Second;
    }
    EvacuationVerdict::Allowed
}

/// Decides whether the evacuation of `data_centre` may be undone.
pub fn check_undo<P: Clone + Ord, D: Clone + Ord>(
    data_centre: &D,
    places: &FleetPlaces<P, D>,
    evacuated: &BTreeSet<&D>,
) -> EvacuationVerdict {
    if evacuated.contains(data_centre) {
        return EvacuationVerdict::Allowed;
    }
    match places.data_centres().contains(data_centre) {
        true => EvacuationVerdict::Unchanged,
        false => EvacuationVerdict::Unknown,
    }
}

/// Explains to an operator why an evacuation of `data_centre`, or its undo, is not made.
pub fn explain<P: Clone + Ord, D: Clone + fmt::Display + Ord>(
    verdict: EvacuationVerdict,
    data_centre: &D,
    places: &FleetPlaces<P, D>,
    evacuated: &BTreeSet<&D>,
) -> String {
    match verdict {
        EvacuationVerdict::Allowed => String::new(),
        EvacuationVerdict::Unchanged if evacuated.contains(data_centre) => {
            format!("data centre {data_centre} is evacuated already; nothing changed")
        }
        EvacuationVerdict::Unchanged => {
            format!("data centre {data_centre} is not evacuated; nothing changed")
        }
        EvacuationVerdict::Unknown => format!(
            "nothing is in data centre {data_centre}; known data centres: {}",
            listed(places.data_centres())
        ),
        EvacuationVerdict::Last => {
            format!("data centre {data_centre} is the last one that is not evacuated")
        }
        EvacuationVerdict::Second => format!(
            "evacuated already: {}; use `--also` to evacuate {data_centre} as well",
            listed(evacuated)
        ),
        EvacuationVerdict::PlacesUnread => {
            "where the fleet is has not been read yet; try again".to_owned()
        }
    }
}

/// Returns what an operator should know about an evacuation that is carried out: the pools
/// whose work has no other place.
pub fn consequence<P: Clone + fmt::Display + Ord, D: Clone + Ord>(
    data_centre: &D,
    places: &FleetPlaces<P, D>,
    evacuated: &BTreeSet<&D>,
) -> Option<String> {
    let pools = places.confined_pools(data_centre, evacuated);
    if pools.is_empty() {
        return None;
    }
    let names = listed(pools);
    Some(format!(
        "these pools have nothing elsewhere, so that their work waits: {names}"
    ))
}

/// Returns names separated by commas.
fn listed<T: fmt::Display>(names: impl IntoIterator<Item = T>) -> String {
    let names = names.into_iter().map(|name| name.to_string());
    names.collect::<Vec<_>>().join(", ")
}
