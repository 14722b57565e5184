//! Entry process that schedules jobs.

use std::io::{self, Write};
use std::rc;
use std::sync;
use std::time;

use redwing_adapter::PlatformFactory;
use redwing_engine::caller::listener::EngineListeners;
use redwing_engine::product::{self, ProductCodec};
use redwing_engine::run::{self, EngineSettings};
use redwing_engine::{DeploymentCodec, DeploymentServices, ServicesFactory};
use redwing_provider::{RowKey, TableStore, TableTransaction};
use redwing_standin::worker::{NoAdvisor, NoMachines};
use redwing_standin::{MemoryPlatform, MemoryWorkers};

use crate::error::{Error, Result};
use crate::settings::{JobPlatform, JobSettings};

/// Manifest of the stand-in deployment.
const MANIFEST: &str = include_str!("embedded_jobs.json");

/// Access key granted by the manifest.
const ACCESS_KEY: &str = "inspectors-key";

/// Pool of the stand-in workers.
const WORKER_POOL: &str = "workers";

/// Number of stand-in workers.
const WORKER_COUNT: u32 = 4;

/// Time that a stand-in worker runs each task.
const TASK_DURATION: time::Duration = time::Duration::from_millis(300);

/// Runs an entry process until it receives a stop signal.
///
/// # Errors
///
/// Fails if the settings cannot be read, or the process cannot listen on its
/// addresses or stops with an error.
pub async fn serve(settings: &JobSettings) -> Result<()> {
    let result = match settings.platform {
        JobPlatform::Deployed => serve_deployed(settings).await?,
        JobPlatform::Embedded => serve_embedded(settings).await?,
    };
    result.map_err(|error| Error::start("run jobs", error))
}

async fn serve_deployed(settings: &JobSettings) -> Result<redwing_engine::Result<()>> {
    let deployment = redwing_adapter::read_settings();
    let deployment = deployment.map_err(|error| Error::start("read settings", error))?;
    let listeners = EngineListeners::bind(deployment.callers, deployment.balancer);
    let listeners = listeners.map_err(|error| Error::start("listen", error))?;
    let mut engine = deployment.engine.clone();
    engine.set_early_refusal(settings.early_refusal);
    let factory = sync::Arc::new(PlatformFactory::new(deployment));
    Ok(run::serve(engine, listeners, factory).await)
}

async fn serve_embedded(settings: &JobSettings) -> Result<redwing_engine::Result<()>> {
    let factory = EmbeddedFactory::provision().await?;
    let listeners = EngineListeners::bind(settings.listen, settings.listen);
    let listeners = listeners.map_err(|error| Error::start("listen", error))?;
    let address = listeners
        .address()
        .map_err(|error| Error::start("listen", error))?;
    let mut engine = EngineSettings {
        leave_delay: time::Duration::from_millis(200),
        ..EngineSettings::default()
    };
    engine.set_early_refusal(settings.early_refusal);
    let text = format!(
        "listen http://{address}\n\n\
         curl -X POST -H 'authorization: Bearer {ACCESS_KEY}' http://{address}/v1/queues/certificates/jobs/first \\\n\
         \x20 -d '{{\"steps\":[{{\"count\":6,\"needs\":{{\"cpu-millis\":1000}}}}]}}'\n\
         curl -H 'authorization: Bearer {ACCESS_KEY}' http://{address}/v1/queues/certificates/jobs/first\n"
    );
    let mut output = io::stdout().lock();
    let printed = output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush());
    printed.map_err(|error| Error::start("print the addresses", error))?;
    drop(output);
    Ok(run::serve(engine, listeners, sync::Arc::new(factory)).await)
}

/// Factory of a table and workers in this process.
struct EmbeddedFactory {
    platform: MemoryPlatform,
    workers: MemoryWorkers,
}

impl EmbeddedFactory {
    async fn provision() -> Result<Self> {
        let platform = MemoryPlatform::default();
        let workers = MemoryWorkers::new(WORKER_POOL, WORKER_COUNT, TASK_DURATION);
        let start_error = |error| Error::start("prepare the embedded platform", error);
        workers.register(&platform).await.map_err(start_error)?;
        let manifest = RowKey::new(product::MANIFEST_KEY);
        let row = TableTransaction::default().put(manifest, MANIFEST);
        platform.commit(&row).await.map_err(start_error)?;
        Ok(Self { platform, workers })
    }
}

impl ServicesFactory for EmbeddedFactory {
    fn services(&self) -> DeploymentServices {
        DeploymentServices {
            table: rc::Rc::new(self.platform.clone()),
            workers: rc::Rc::new(self.workers.clone()),
            advisor: rc::Rc::new(NoAdvisor),
            machines: rc::Rc::new(NoMachines),
        }
    }

    fn codec(&self) -> sync::Arc<dyn DeploymentCodec> {
        sync::Arc::new(ProductCodec)
    }
}
