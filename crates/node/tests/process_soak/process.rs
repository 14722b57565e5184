//! Child processes of the soak. Each is signalled and ended by its own id.

use std::ffi::OsStr;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process;
use std::time;

use rustix::process as system;
use tokio::time as timer;

/// Time between two looks at a process that is to print a line.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Program that the soak starts, with its arguments and environment.
#[derive(Clone, Debug)]
pub(crate) struct ProcessCommand {
    pub(crate) program: PathBuf,
    pub(crate) arguments: Vec<String>,
    pub(crate) environment: Vec<(&'static str, PathBuf)>,
    /// File to which both output streams are appended.
    pub(crate) log: PathBuf,
}

/// Child process, killed when dropped.
#[derive(Debug)]
pub(crate) struct SoakProcess {
    child: process::Child,
}

impl SoakProcess {
    /// Starts a process.
    ///
    /// # Panics
    ///
    /// Panics if the program or its log file cannot be used.
    pub(crate) fn start(command: &ProcessCommand) -> Self {
        let path = &command.log;
        let log = fs::OpenOptions::new().create(true).append(true).open(path);
        let log = log.unwrap_or_else(|error| panic!("open {}: {error}", path.display()));
        let second = log.try_clone().expect("a descriptor is free");
        let environment = command.environment.iter();
        let child = process::Command::new(&command.program)
            .args(&command.arguments)
            .envs(environment.map(|(name, value)| (name, value.as_os_str())))
            .stdin(process::Stdio::null())
            .stdout(log)
            .stderr(second)
            .spawn();
        let program = command.program.display();
        let child = child.unwrap_or_else(|error| panic!("start {program}: {error}"));
        Self { child }
    }

    /// Sends a signal; a process that has exited gets none.
    pub(crate) fn signal(&mut self, signal: system::Signal) {
        if self.exit_status().is_some() {
            return;
        }
        let process = system::Pid::from_child(&self.child);
        // It is not reaped before the next look, so the id is still its own.
        system::kill_process(process, signal).expect("a child can be signalled");
    }

    /// Returns the status of a process that has exited.
    pub(crate) fn exit_status(&mut self) -> Option<process::ExitStatus> {
        self.child.try_wait().expect("a child can be waited for")
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        self.signal(system::Signal::KILL);
        // It was killed; its status does not matter.
        let _ = self.child.wait();
    }
}

/// Waits until a line of the file satisfies `is_wanted`, and returns the lines.
///
/// # Panics
///
/// Panics with the content of the file if there is no such line in time.
pub(crate) async fn wait_line(
    path: &Path,
    limit: time::Duration,
    is_wanted: impl Fn(&str) -> bool,
) -> Vec<String> {
    let end = timer::Instant::now() + limit;
    loop {
        let text = read_log(path).unwrap_or_default();
        if text.lines().any(&is_wanted) {
            return text.lines().map(str::to_owned).collect();
        }
        assert!(timer::Instant::now() < end, "not ready, it says: {text}");
        timer::sleep(POLL_INTERVAL).await;
    }
}

/// Reads a log; bytes that are no text are replaced.
pub(crate) fn read_log(path: &Path) -> io::Result<String> {
    Ok(String::from_utf8_lossy(&fs::read(path)?).into_owned())
}

/// Returns the logs in a directory, by name.
pub(crate) fn list_logs(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).into_iter().flatten().flatten();
    let paths = entries.map(|entry| entry.path());
    let is_log = |path: &PathBuf| path.extension() == Some(OsStr::new("log"));
    let mut logs: Vec<PathBuf> = paths.filter(is_log).collect();
    logs.sort();
    logs
}
