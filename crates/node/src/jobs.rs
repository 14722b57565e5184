//! The entry process that schedules jobs.

use std::sync;

use redwing_adapter::PlatformFactory;

use crate::error::{Error, Result};
use crate::settings::JobSettings;

/// Runs an entry process on the users' platform until it is told to stop.
///
/// # Errors
///
/// Fails if the platform's settings cannot be read, or the process cannot
/// listen on its addresses.
pub async fn serve(_settings: &JobSettings) -> Result<()> {
    let settings = redwing_adapter::read_settings();
    let settings = settings.map_err(|error| Error::start("read settings", error))?;
    let engine = settings.engine.clone();
    let factory = sync::Arc::new(PlatformFactory::new(settings));
    let served = redwing_engine::run::serve(engine, factory).await;
    served.map_err(|error| Error::start("run jobs", error))
}
