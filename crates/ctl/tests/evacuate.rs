//! The `evacuate` subcommand against a listener for operators and the stand-in platform.

use std::io::{Read, Write};
use std::net;
use std::sync::mpsc;
use std::thread;

use redwing_ctl::{ExitStatus, output};
use redwing_model::admin::{HistoryEntry, NodeStatus};
use redwing_platform_standin::StandinSettings;
use redwing_platform_standin::settings::FleetSettings;
use rstest::rstest;
use serde_json::Value;

const ACCEPTED: &str = r#"{"status":"accepted","change":"c","version":2,"detail":"in force"}"#;
const LAST: &str = r#"{"status":"refused","change":"c","cause":"disallowed","detail":"last"}"#;

/// Starts a listener that hangs up on the first request and answers the second one; its
/// thread returns what it received.
fn listen(answer: &'static str) -> (String, thread::JoinHandle<[String; 2]>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base_url = format!("http://{}", listener.local_addr().expect("an address"));
    let receive = move |answer: Option<&str>| {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).expect("a request");
        if let Some(text) = answer {
            let head = format!("HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n", text.len());
            let answer = format!("{head}{text}");
            stream.write_all(answer.as_bytes()).expect("a response");
        }
        String::from_utf8_lossy(&buffer[..length]).to_lowercase()
    };
    let thread = thread::spawn(move || [receive(None), receive(Some(answer))]);
    (base_url, thread)
}

/// Guards against a command that gets another id when it is repeated after a lost reply, by
/// which it would be a second change, and against a wrong method, path, body or exit status.
#[rstest]
#[case::begin("--also", "post ", r#"{"also":true}"#, ACCEPTED, ExitStatus::Success)]
#[case::undo("--undo", "delete ", "", ACCEPTED, ExitStatus::Success)]
#[case::refused("--also", "post ", "", LAST, ExitStatus::Failure)]
fn a_command_whose_reply_is_lost_is_repeated_with_its_id(
    #[case] argument: &str,
    #[case] method: &str,
    #[case] body: &str,
    #[case] answer: &'static str,
    #[case] expected: ExitStatus,
) {
    let (base_url, thread) = listen(answer);
    let arguments = [
        "redwingctl",
        "evacuate",
        "east",
        argument,
        "--admin",
        &base_url,
    ];
    let status = redwing_ctl::run(arguments.iter().chain(&["--token", "t", "--wait", "30"]));
    assert_eq!(status, expected);
    let requests = thread.join().expect("the listener");
    let ids = requests.each_ref().map(|request| {
        let line = format!("{method}/v1/admin/evacuations/east ");
        assert!(
            request.starts_with(&line) && request.ends_with(body),
            "{request}"
        );
        let mut lines = request.lines();
        lines.find_map(|line| line.strip_prefix("redwing-change-id: "))
    });
    assert!(ids[0].is_some() && ids[0] == ids[1], "{ids:?}");
}

#[rstest]
#[case::both(&["east", "--platform", "127.0.0.1:9", "--admin", "http://127.0.0.1:9"])]
#[case::neither(&["east"])]
#[case::undo_of_others(&["east", "--undo", "--also", "--platform", "127.0.0.1:9"])]
#[case::no_label(&["East", "--admin", "http://127.0.0.1:9", "--token", "t"])]
#[case::no_key(&["a/b", "--platform", "127.0.0.1:9"])]
#[case::no_address(&["east", "--platform", "localhost"])]
fn a_wrong_flag_sends_nothing(#[case] arguments: &[&str]) {
    let command = ["redwingctl", "evacuate"];
    let status = redwing_ctl::run(command.iter().chain(arguments));
    assert_eq!(status, ExitStatus::Usage);
}

/// Guards against a status or history that does not show evacuations.
#[test]
fn status_and_history_name_the_data_centre() {
    let status = r#"{"node":{"node":"n","epoch":1},"version":3,"accepts-keyed":true,"ready":true,
        "table-reachable":true,"majority-reachable":true,"evacuated":["east"],"members":[]}"#;
    let status: NodeStatus = serde_json::from_str(status).expect("a status");
    let text = output::StatusText(&status).to_string();
    assert!(text.contains("\nevacuated east"), "{text}");
    let history = r#"[{"version":3,"from-version":2,"change":"c","operator":"ama","at-millis":0,
        "kind":{"undo-evacuation":{"data-centre":"east"}}}]"#;
    let history: Vec<HistoryEntry> = serde_json::from_str(history).expect("a history");
    let text = output::HistoryText(&history).to_string();
    assert!(text.contains("undo evacuation of east (c)"), "{text}");
}

/// Stand-in platform in a thread of its own, which ends with the test.
struct TestPlatform {
    address: net::SocketAddr,
    process: net::SocketAddr,
    _stop: mpsc::Sender<()>,
}

impl TestPlatform {
    fn start(data_centres: u32) -> Self {
        let (addresses, started) = mpsc::channel();
        let (stop, stopped) = mpsc::channel::<()>();
        let settings = StandinSettings {
            fleet: FleetSettings {
                data_centres,
                ..FleetSettings::default()
            },
            ..StandinSettings::default()
        };
        thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let platform = redwing_platform_standin::start(settings).expect("free ports");
                let process = platform.processes()[0].platform;
                let sent = addresses.send((platform.address(), process));
                sent.expect("the test waits");
                // An error means that the test has ended.
                let _ = tokio::task::spawn_blocking(move || stopped.recv()).await;
                platform.stop().await;
            });
        });
        let (address, process) = started.recv().expect("the platform starts");
        Self {
            address,
            process,
            _stop: stop,
        }
    }

    /// Runs the command against the platform.
    fn evacuate(&self, arguments: &[&str]) -> ExitStatus {
        evacuate_at(self.address, arguments)
    }

    /// Sends a call of a test.
    fn call(&self, method: awc::http::Method, path: &str, body: &str) -> Value {
        let url = format!("http://{}{path}", self.address);
        actix_rt::System::new().block_on(async {
            let sent = awc::Client::default().request(method, url);
            let sent = sent.send_body(body.to_owned()).await;
            let mut response = sent.expect("the stand-in responds");
            let body = response.body().limit(1 << 20).await.expect("a body");
            serde_json::from_slice(&body).expect("it is JSON")
        })
    }

    fn add_fault(&self, fault: &str) {
        let text = format!("[[fault]]\n{fault}\nfrom-seconds = 0\nto-seconds = 600\n");
        let added = self.call(awc::http::Method::POST, "/stand-in/faults", &text);
        assert_eq!(added["added"], 1, "{added}");
    }

    /// Returns the number of all evacuations so far, and the data centres that are evacuated
    /// now, in the order of their evacuations.
    fn evacuated(&self) -> String {
        let state = self.call(awc::http::Method::GET, "/stand-in/state", "");
        let records = state["evacuations"].as_array().expect("a list");
        let open = records.iter().filter(|record| record["toMs"].is_null());
        let names = open.filter_map(|record| record["dataCentre"].as_str());
        format!("{}: {}", records.len(), names.collect::<Vec<_>>().join(" "))
    }
}

fn evacuate_at(address: net::SocketAddr, arguments: &[&str]) -> ExitStatus {
    let address = address.to_string();
    let common = ["--platform", address.as_str()];
    let command = ["redwingctl", "evacuate"];
    redwing_ctl::run(command.iter().chain(arguments).chain(&common))
}

/// Guards against a refused command that has an effect, and against one that changes nothing
/// and fails.
#[test]
fn the_platform_is_evacuated_once_and_never_as_a_whole() {
    let platform = TestPlatform::start(3);
    for (arguments, expected, evacuated) in [
        ("zone-9", ExitStatus::Failure, "0: "),
        ("zone-1", ExitStatus::Success, "1: zone-1"),
        ("zone-1", ExitStatus::Success, "1: zone-1"),
        ("zone-2", ExitStatus::Failure, "1: zone-1"),
        ("zone-2 --also", ExitStatus::Success, "2: zone-1 zone-2"),
        ("zone-3 --also", ExitStatus::Failure, "2: zone-1 zone-2"),
        ("zone-1 --undo", ExitStatus::Success, "2: zone-2"),
        ("zone-1 --undo", ExitStatus::Success, "2: zone-2"),
        ("zone-9 --undo", ExitStatus::Failure, "2: zone-2"),
    ] {
        let status = platform.evacuate(&arguments.split(' ').collect::<Vec<_>>());
        let found = (status, platform.evacuated());
        assert_eq!(found, (expected, evacuated.to_owned()), "{arguments}");
    }
    let status = evacuate_at(platform.process, &["zone-2", "--undo", "--wait", "0"]);
    assert_eq!(
        (status, &*platform.evacuated()),
        (ExitStatus::Failure, "2: zone-2")
    );
}

/// Guards against a lost reply that is reported as a failure, or after which the command
/// evacuates a second time.
#[test]
fn a_lost_reply_of_the_table_is_resolved_by_reading() {
    let platform = TestPlatform::start(2);
    platform.add_fault("effect = 'lose-replies'\ntarget = 'table-writes'");
    let status = platform.evacuate(&["zone-1", "--wait", "30"]);
    assert_eq!(status, ExitStatus::Success);
    assert_eq!(platform.evacuated(), "1: zone-1");
    let status = platform.evacuate(&["zone-1", "--undo", "--wait", "0"]);
    assert_eq!(status, ExitStatus::Pending);
    platform.call(awc::http::Method::DELETE, "/stand-in/faults", "");
    let status = platform.evacuate(&["zone-1", "--undo"]);
    assert_eq!(status, ExitStatus::Success);
    assert_eq!(platform.evacuated(), "1: ");
}

/// Guards against a command that claims an unknown outcome although nothing was sent, or
/// waits longer than it may.
#[test]
fn a_table_out_of_reach_leaves_everything_as_it_is() {
    let platform = TestPlatform::start(2);
    platform.add_fault("effect = 'refuse'\ntarget = 'table'\nstatus = 503");
    let status = platform.evacuate(&["zone-1", "--wait", "0.5"]);
    assert_eq!(status, ExitStatus::Failure);
    let nobody = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let status = evacuate_at(nobody, &["zone-1", "--wait", "0"]);
    assert_eq!(status, ExitStatus::Failure);
    assert_eq!(platform.evacuated(), "0: ");
}

/// Guards against two operators who together evacuate the whole platform, each after having
/// read that the other data centre is open.
#[test]
fn of_two_operators_at_once_one_is_refused() {
    let platform = TestPlatform::start(2);
    let statuses = thread::scope(|scope| {
        let commands = ["zone-1", "zone-2"].map(|name| {
            let platform = &platform;
            scope.spawn(move || platform.evacuate(&[name, "--also"]))
        });
        commands.map(|command| command.join().expect("the command ends"))
    });
    let accepted = statuses
        .iter()
        .filter(|status| **status == ExitStatus::Success);
    assert_eq!(accepted.count(), 1, "{statuses:?}");
    assert!(platform.evacuated().starts_with("1: zone-"));
}
