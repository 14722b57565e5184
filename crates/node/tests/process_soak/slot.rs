//! VM of a soak: its process, with the proxies in front of it.

use std::fs;
use std::net;
use std::path::{Path, PathBuf};
use std::time;

use tokio::time as timer;

use crate::process::SoakProcess;
use crate::proxy::LinkProxy;

/// Grace periods of the processes, in turn.
const GRACE_PERIODS: [time::Duration; 3] = [
    time::Duration::from_secs(6),
    time::Duration::from_secs(5),
    time::Duration::from_millis(4_500),
];

/// One VM of so many is small, and leaves the scheduling to larger ones.
const SMALL_EACH: usize = 4;

/// CPU of a small VM, as a share of one core.
const SMALL_CPU_SHARE: f64 = 0.1;

/// Process of one VM.
pub(crate) struct ProcessSlot {
    pub(crate) settings: PathBuf,
    pub(crate) ready: net::SocketAddr,
    pub(crate) grace_period: time::Duration,
    pub(crate) caller_link: LinkProxy,
    pub(crate) table_link: LinkProxy,
    pub(crate) process: Option<SoakProcess>,
    /// Number of the start, and of the latest one that was ready, told to stop, or
    /// killed.
    pub(crate) starts: u32,
    pub(crate) ready_start: u32,
    pub(crate) stopping_start: u32,
    pub(crate) killed_start: u32,
    pub(crate) is_frozen: bool,
    /// When it was last frozen or continued.
    pub(crate) frozen_at: Option<timer::Instant>,
}

impl ProcessSlot {
    /// Puts proxies in front of a process: its settings name the one of the table. VMs
    /// differ in their size and in the grace period.
    pub(crate) async fn new(node: usize, settings: &Path, directory: &Path) -> Self {
        let text = fs::read_to_string(settings).expect("the platform wrote the settings");
        let mut file: toml::Table = text.parse().expect("the settings are TOML");
        let address = |section: &str, name: &str| {
            let text = file[section][name].as_str();
            let address = text.and_then(|text| text.parse::<net::SocketAddr>().ok());
            address.unwrap_or_else(|| panic!("{section}.{name} is an address: {text:?}"))
        };
        let table_link = LinkProxy::start(address("platform", "address")).await;
        let caller_link = LinkProxy::start(address("listen", "front")).await;
        let ready = address("listen", "ready");
        let grace_period = GRACE_PERIODS[node % GRACE_PERIODS.len()];
        file["platform"]["address"] = table_link.address.to_string().into();
        file["bounds"]["graceS"] = grace_period.as_secs_f64().into();
        if node % SMALL_EACH == SMALL_EACH - 1 {
            file["limits"]["cpuShare"] = SMALL_CPU_SHARE.into();
        }
        let name = settings.file_name().expect("it is a file");
        let path = directory.join(name).with_extension("proxied.toml");
        fs::write(&path, file.to_string()).expect("the directory is writable");
        Self {
            settings: path,
            ready,
            grace_period,
            caller_link,
            table_link,
            process: None,
            starts: 0,
            ready_start: 0,
            stopping_start: 0,
            killed_start: 0,
            is_frozen: false,
            frozen_at: None,
        }
    }
}
