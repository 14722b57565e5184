//! Evacuations through the table of the users' platform.
//!
//! The operators' row of a data centre says whether it is evacuated. The platform keeps no
//! ids of changes: after a lost reply, the rows are read again, and what they show is what
//! counts, whoever wrote it.

use std::collections::BTreeSet;
use std::net;
use std::time;

use actix_rt::time as timer;
use redwing_adapter::operator::{EvacuationRows, OperatorClient};
use redwing_jobs::name::{DataCentre, PoolName};
use redwing_model::admin::{ChangeResponse, ChangeStatus, RefusalCause};
use redwing_model::evacuation::{self, EvacuationVerdict, FleetPlaces};
use redwing_provider::{Category, CommitOutcome, Result};

/// Time between two attempts.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// Number of workers or machines of each pool in each data centre.
type WorkerPlaces = FleetPlaces<PoolName, DataCentre>;

/// Evacuation, or its undo, as the operator requests it.
#[derive(Clone, Debug)]
pub(crate) struct EvacuationCommand {
    pub(crate) data_centre: DataCentre,
    pub(crate) is_undo: bool,
    /// Whether the operator expects that others are evacuated.
    pub(crate) also: bool,
    /// Id of the change, for the output only.
    pub(crate) change: String,
    /// Time for which attempts are repeated.
    pub(crate) wait: time::Duration,
}

/// What a command has found out so far.
struct EvacuationAttempt<'a> {
    client: OperatorClient,
    command: &'a EvacuationCommand,
    /// Whether a write without a response may still take effect.
    is_uncertain: bool,
}

/// Carries out a command and returns its result.
pub(crate) async fn execute(
    address: net::SocketAddr,
    command: &EvacuationCommand,
) -> ChangeResponse {
    let started = time::Instant::now();
    let mut attempt = EvacuationAttempt {
        client: OperatorClient::new(address),
        command,
        is_uncertain: false,
    };
    loop {
        let reason = match attempt.run().await {
            Ok(Some(response)) => return response,
            Ok(None) => "other operators change the evacuations at the same time".to_owned(),
            Err(error) if error.classify() == Category::Refused => {
                return attempt.failure(RefusalCause::Disallowed, &error.to_string());
            }
            Err(error) => error.to_string(),
        };
        if started.elapsed() >= command.wait {
            return attempt.failure(RefusalCause::Unavailable, &reason);
        }
        timer::sleep(RETRY_DELAY).await;
    }
}

impl EvacuationAttempt<'_> {
    /// Makes one attempt; returns `None` if the rows have changed since they were read.
    async fn run(&mut self) -> Result<Option<ChangeResponse>> {
        let name = &self.command.data_centre;
        let rows = self.client.evacuations().await?;
        let evacuated: BTreeSet<&DataCentre> = rows.keys().collect();
        let is_reached = evacuated.contains(name) != self.command.is_undo;
        if is_reached && self.is_uncertain {
            return Ok(Some(self.confirmed(None, None)));
        }
        let places = match evacuated.contains(name) {
            true => WorkerPlaces::default(),
            false => self.places().await?,
        };
        let verdict = match self.command.is_undo {
            true => evacuation::check_undo(name, &places, &evacuated),
            false => evacuation::check_begin(name, self.command.also, &places, &evacuated),
        };
        let reason = evacuation::explain(verdict, name, &places, &evacuated);
        let cause = match verdict {
            EvacuationVerdict::Allowed => return self.write(&rows, &places).await,
            EvacuationVerdict::Unchanged => return Ok(Some(self.unchanged(reason))),
            EvacuationVerdict::Unknown => RefusalCause::NotFound,
            EvacuationVerdict::Last | EvacuationVerdict::Second => RefusalCause::Disallowed,
            EvacuationVerdict::PlacesUnread => RefusalCause::Unavailable,
        };
        Ok(Some(self.failure(cause, &reason)))
    }

    /// Reads where workers are and, if that does not name the data centre, where machines
    /// are: the workers of a data centre that fails may have no entries any more.
    async fn places(&self) -> Result<WorkerPlaces> {
        let workers = self.client.worker_places().await?;
        let mut places = FleetPlaces::new(workers.iter().map(|(pool, name)| (pool, name)));
        if places.count(&self.command.data_centre) > 0 {
            return Ok(places);
        }
        // A platform without machines has no list of them.
        let machines = self.client.machine_places().await.unwrap_or_default();
        for (pool, name) in &machines {
            places.add(pool, name);
        }
        Ok(places)
    }

    async fn write(
        &mut self,
        rows: &EvacuationRows,
        places: &WorkerPlaces,
    ) -> Result<Option<ChangeResponse>> {
        let name = &self.command.data_centre;
        let evacuated: BTreeSet<&DataCentre> = rows.keys().collect();
        let written = match rows.get(name) {
            Some(version) => self.client.undo(name, *version).await,
            None => {
                let open = places.data_centres();
                let open = open.difference(&evacuated).copied();
                self.client.evacuate(name, rows, open).await
            }
        };
        match written {
            Ok(CommitOutcome::Committed(commit)) => {
                let consequence = evacuation::consequence(name, places, &evacuated);
                Ok(Some(self.confirmed(Some(commit), consequence)))
            }
            Ok(CommitOutcome::Conflict(_)) => Ok(None),
            Err(error) => {
                self.is_uncertain |= error.classify() == Category::Unknown;
                Err(error)
            }
        }
    }

    fn confirmed(&self, commit: Option<u64>, consequence: Option<String>) -> ChangeResponse {
        let state = match self.command.is_undo {
            true => "the evacuation is undone",
            false => "the evacuation is confirmed, and its bound counts from now",
        };
        let name = &self.command.data_centre;
        let source = match commit {
            Some(commit) => format!("commit {commit} of the table"),
            None => "the reply to the write was lost, and the table shows the result".to_owned(),
        };
        let mut detail = format!("data centre {name}: {state}; {source}");
        if let Some(consequence) = consequence {
            detail.push_str("; ");
            detail.push_str(&consequence);
        }
        self.response(ChangeStatus::Accepted, detail)
    }

    fn unchanged(&self, detail: String) -> ChangeResponse {
        ChangeResponse {
            unchanged: true,
            ..self.response(ChangeStatus::Accepted, detail)
        }
    }

    /// Returns the response to a command that was not carried out, or may not have been.
    fn failure(&self, cause: RefusalCause, reason: &str) -> ChangeResponse {
        if self.is_uncertain {
            let detail = format!("{reason}; the command may have taken effect: repeat it");
            return self.response(ChangeStatus::Pending, detail);
        }
        ChangeResponse {
            cause: Some(cause),
            ..self.response(
                ChangeStatus::Refused,
                format!("{reason}; nothing was changed"),
            )
        }
    }

    fn response(&self, status: ChangeStatus, detail: String) -> ChangeResponse {
        ChangeResponse {
            status,
            change: self.command.change.clone(),
            version: None,
            cause: None,
            detail,
            differences: Vec::new(),
            errors: Vec::new(),
            conflict: None,
            secret: None,
            hash: None,
            unchanged: false,
        }
    }
}
