//! Subcommands that run stand-ins for backend servers and the platform.

use std::net;
use std::str;
use std::sync;
use std::time;

use clap::{ArgAction, ArgMatches, Command, value_parser};
use redwing_model::NodeId;
use redwing_model::vm::VmIdentity;
use redwing_provider::{ListedStatus, ListedVm, VmRole};
use redwing_standin::{MemoryPlatform, MemorySettings, backend, server};

use crate::error::{Error, Result};
use crate::flag;
use crate::serve;
use crate::stop::SignalListener;

/// Settings of stand-in backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendSettings {
    /// Addresses to listen on, one for each backend server.
    pub listen: Vec<net::SocketAddr>,
    /// Fault injected into all requests.
    pub fault: backend::BackendFault,
}

/// Settings of a stand-in platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub listen: net::SocketAddr,
    /// Age of the VM list that clients receive.
    pub lag: time::Duration,
    /// VMs in the list at the start.
    pub vms: Vec<StandinVm>,
}

/// VM of a stand-in platform, written `NAME,IP:PORT,RACK,DATA-CENTRE`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StandinVm(VmIdentity);

impl str::FromStr for StandinVm {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let parts: Vec<&str> = text.split(',').collect();
        let [vm, address, rack, data_centre] = parts[..] else {
            return Err("use NAME,IP:PORT,RACK,DATA-CENTRE".to_owned());
        };
        let describe = |error: redwing_model::Error| error.to_string();
        Ok(Self(VmIdentity {
            vm: vm.parse().map_err(describe)?,
            address: address
                .parse()
                .map_err(|_| format!("{address} is not IP:PORT"))?,
            rack: rack.parse().map_err(describe)?,
            data_centre: data_centre.parse().map_err(describe)?,
        }))
    }
}

/// Selected stand-in, with its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StandinChoice {
    /// Backend servers.
    Backend(BackendSettings),
    /// A platform.
    Platform(PlatformSettings),
}

/// Returns the definition of the `standin` subcommand.
pub fn command() -> Command {
    Command::new("standin")
        .about("Runs stand-ins for the services around an entry process")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(backend_command())
        .subcommand(platform_command())
}

/// Returns the selected stand-in with its settings.
pub fn from_matches(matches: &ArgMatches) -> Option<StandinChoice> {
    match matches.subcommand()? {
        ("backend", flags) => Some(StandinChoice::Backend(BackendSettings {
            listen: flags.get_many("listen")?.copied().collect(),
            fault: flag::read(flags, "fault")?,
        })),
        ("platform", flags) => {
            let vms = flags.get_many::<StandinVm>("vm");
            Some(StandinChoice::Platform(PlatformSettings {
                listen: flag::read(flags, "listen")?,
                lag: flag::read(flags, "lag")?,
                vms: vms.unwrap_or_default().cloned().collect(),
            }))
        }
        _ => None,
    }
}

/// Runs a stand-in until the process receives a stop signal.
///
/// # Errors
///
/// Fails if the process cannot listen on an address.
pub async fn run(choice: StandinChoice) -> Result<()> {
    match choice {
        StandinChoice::Backend(settings) => run_backends(settings).await,
        StandinChoice::Platform(settings) => run_platform(settings).await,
    }
}

fn backend_command() -> Command {
    let listen = flag::named("listen", "Address to listen on; repeat for more servers")
        .required(true)
        .action(ArgAction::Append)
        .value_name("IP:PORT")
        .value_parser(value_parser!(net::SocketAddr));
    let fault = flag::named("fault", "Fault injected into all requests")
        .default_value("none")
        .value_name("KIND")
        .value_parser(str::parse::<backend::BackendFault>);
    Command::new("backend")
        .about("Runs stand-in backend servers")
        .arg(listen)
        .arg(fault)
}

fn platform_command() -> Command {
    let vm = flag::named("vm", "VM listed at the start; repeat for more VMs")
        .action(ArgAction::Append)
        .value_name("NAME,IP:PORT,RACK,DATA-CENTRE")
        .value_parser(str::parse::<StandinVm>);
    let lag = flag::seconds("lag", "Age of the VM list", "2", 0.0..=600.0);
    Command::new("platform")
        .about("Runs a stand-in platform; a VM whose name starts with entry- is an entry VM")
        .arg(flag::address("listen", "Address to listen on"))
        .arg(lag)
        .arg(vm)
}

async fn run_backends(settings: BackendSettings) -> Result<()> {
    const STEP: &str = "listen as a backend server";
    let mut signals = SignalListener::open().map_err(serve::signal_error)?;
    let mut listeners = Vec::new();
    let mut addresses = String::new();
    for address in settings.listen {
        let listener = serve::bind(STEP, address)?;
        let address = serve::local_address(&listener)?;
        addresses.push_str(&format!("backend http://{address}\n"));
        listeners.push(listener);
    }
    let state = sync::Arc::new(backend::BackendState::default());
    state.set_fault(settings.fault);
    let (server, handle) =
        backend::start(listeners, state).map_err(|error| Error::start(STEP, error))?;
    let serving = actix_rt::spawn(server);
    serve::print(&format!("{addresses}ready\n"))?;
    signals.next().await;
    handle.stop(true).await;
    let _ = serving.await;
    Ok(())
}

async fn run_platform(settings: PlatformSettings) -> Result<()> {
    const STEP: &str = "listen as a platform";
    let mut signals = SignalListener::open().map_err(serve::signal_error)?;
    let listener = serve::bind(STEP, settings.listen)?;
    let address = serve::local_address(&listener)?;
    let platform = MemoryPlatform::new(MemorySettings {
        list_lag: settings.lag,
        ..MemorySettings::default()
    });
    for StandinVm(identity) in settings.vms {
        let role = role_from_name(&identity)?;
        let status = ListedStatus::Live;
        platform.put_vm(ListedVm {
            identity,
            role,
            status,
        });
    }
    platform.skip_list_lag();
    let server = server::serve(listener, platform).map_err(|error| Error::start(STEP, error))?;
    let handle = server.handle();
    let serving = actix_rt::spawn(server);
    serve::print(&format!("platform http://{address}\nready\n"))?;
    signals.next().await;
    handle.stop(true).await;
    let _ = serving.await;
    Ok(())
}

/// Returns the role of a VM, derived from its name.
fn role_from_name(identity: &VmIdentity) -> Result<VmRole> {
    let name = identity.vm.as_str();
    if !name.starts_with("entry-") {
        return Ok(VmRole::BackendServer);
    }
    let node =
        NodeId::new(name).map_err(|error| Error::start("read the name of an entry VM", error))?;
    Ok(VmRole::Entry(node))
}
