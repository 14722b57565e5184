//! The `evacuate` subcommand against a listener for operators and the stand-in platform.

use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::sync::mpsc;
use std::thread;

use redwing_ctl::{ExitStatus, output};
use redwing_model::admin::{HistoryEntry, NodeStatus};
use redwing_platform_standin::StandinSettings;
use redwing_platform_standin::settings::FleetSettings;
use rstest::rstest;
use serde_json::Value;

/// Starts a listener that answers each request with a status and a body, or closes the
/// connection without an answer; its thread returns the heads and bodies of the requests.
fn listen(
    answers: Vec<Option<(u16, &'static str)>>,
) -> (String, thread::JoinHandle<Vec<(String, String)>>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base_url = format!("http://{}", listener.local_addr().expect("an address"));
    let serve = move |answer: Option<(u16, &str)>| {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            reader.read_line(&mut head).expect("a line");
        }
        let head = head.to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.map_or(0, |text| text.parse().expect("a length"))];
        reader.read_exact(&mut body).expect("a body");
        if let Some((status, text)) = answer {
            let length = text.len();
            let answer = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{text}"
            );
            stream.write_all(answer.as_bytes()).expect("a response");
        }
        (head, String::from_utf8(body).expect("UTF-8"))
    };
    let thread = thread::spawn(move || answers.into_iter().map(serve).collect());
    (base_url, thread)
}

/// Runs the command through the operator API at `base_url`.
fn evacuate_admin(base_url: &str, arguments: &[&str]) -> ExitStatus {
    let common = ["--admin", base_url, "--token", "t"];
    let command = ["redwingctl", "evacuate", "east"];
    redwing_ctl::run(command.iter().chain(arguments).chain(&common))
}

#[rstest]
#[case::accepted(
    200,
    r#"{"status":"accepted","change":"c","version":2,"detail":"in force"}"#,
    ExitStatus::Success
)]
#[case::unchanged(
    200,
    r#"{"status":"accepted","change":"c","detail":"already","unchanged":true}"#,
    ExitStatus::Success
)]
#[case::last(
    409,
    r#"{"status":"refused","change":"c","cause":"disallowed","detail":"the last one"}"#,
    ExitStatus::Failure
)]
#[case::unknown(
    404,
    r#"{"status":"refused","change":"c","cause":"not-found","detail":"no VM"}"#,
    ExitStatus::Failure
)]
#[case::table_down(
    202,
    r#"{"status":"pending","change":"c","detail":"repeat"}"#,
    ExitStatus::Pending
)]
fn the_exit_status_follows_the_answer_of_the_entry_process(
    #[case] status: u16,
    #[case] body: &'static str,
    #[case] expected: ExitStatus,
) {
    let (base_url, thread) = listen(vec![Some((status, body))]);
    assert_eq!(evacuate_admin(&base_url, &["--wait", "0"]), expected);
    thread.join().expect("the listener");
}

/// Guards against a repeated command that gets another id, by which it would be a second
/// change, and against a wrong method, path or body.
#[rstest]
#[case::begin(&["--also"], "post /v1/admin/evacuations/east ", r#"{"also":true}"#)]
#[case::undo(&["--undo"], "delete /v1/admin/evacuations/east ", "")]
fn a_command_whose_reply_is_lost_is_repeated_with_its_id(
    #[case] arguments: &[&str],
    #[case] line: &str,
    #[case] expected_body: &str,
) {
    let accepted = r#"{"status":"accepted","change":"c","version":2,"detail":"in force"}"#;
    let (base_url, thread) = listen(vec![None, Some((200, accepted))]);
    let arguments: Vec<&str> = arguments.iter().copied().chain(["--wait", "30"]).collect();
    assert_eq!(evacuate_admin(&base_url, &arguments), ExitStatus::Success);
    let requests = thread.join().expect("the listener");
    let ids: Vec<_> = requests
        .iter()
        .map(|(head, body)| {
            assert!(head.starts_with(line), "{head}");
            assert_eq!(body, expected_body);
            let mut lines = head.lines();
            lines.find_map(|line| line.strip_prefix("redwing-change-id: "))
        })
        .collect();
    assert!(ids[0].is_some());
    assert_eq!(ids, [ids[0]; 2]);
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

/// Stand-in platform in a thread of its own.
struct TestPlatform {
    address: net::SocketAddr,
    process: net::SocketAddr,
    stop: Option<mpsc::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl TestPlatform {
    fn start(data_centres: u32) -> Self {
        let (addresses, started) = mpsc::channel();
        let (stop, stopped) = mpsc::channel::<()>();
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let settings = StandinSettings {
                    fleet: FleetSettings {
                        data_centres,
                        ..FleetSettings::default()
                    },
                    ..StandinSettings::default()
                };
                let platform = redwing_platform_standin::start(settings).expect("free ports");
                let process = platform.processes()[0].platform;
                addresses
                    .send((platform.address(), process))
                    .expect("the test waits");
                let wait = tokio::task::spawn_blocking(move || stopped.recv());
                // An error means that the test has ended, as a stop does.
                let _ = wait.await;
                platform.stop().await;
            });
        });
        let (address, process) = started.recv().expect("the platform starts");
        Self {
            address,
            process,
            stop: Some(stop),
            thread: Some(thread),
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

    fn clear_faults(&self) {
        self.call(awc::http::Method::DELETE, "/stand-in/faults", "");
    }

    /// Returns the data centres that are evacuated, in the order of their evacuations, and
    /// the number of all evacuations so far.
    fn evacuated(&self) -> (Vec<String>, usize) {
        let state = self.call(awc::http::Method::GET, "/stand-in/state", "");
        let records = state["evacuations"].as_array().expect("a list");
        let open = records.iter().filter(|record| record["toMs"].is_null());
        let names = open.filter_map(|record| record["dataCentre"].as_str());
        (names.map(str::to_owned).collect(), records.len())
    }
}

impl Drop for TestPlatform {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed.
            let _ = thread.join();
        }
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
    let run = |arguments: &[&str]| {
        let status = platform.evacuate(arguments);
        (status, platform.evacuated().0)
    };
    let names = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    let (success, failure) = (ExitStatus::Success, ExitStatus::Failure);
    assert_eq!(run(&["zone-9"]), (failure, names(&[])));
    assert_eq!(run(&["zone-1"]), (success, names(&["zone-1"])));
    assert_eq!(run(&["zone-1"]), (success, names(&["zone-1"])));
    assert_eq!(run(&["zone-2"]), (failure, names(&["zone-1"])));
    let both = names(&["zone-1", "zone-2"]);
    assert_eq!(run(&["zone-2", "--also"]), (success, both.clone()));
    assert_eq!(run(&["zone-3", "--also"]), (failure, both));
    assert_eq!(run(&["zone-1", "--undo"]), (success, names(&["zone-2"])));
    assert_eq!(run(&["zone-1", "--undo"]), (success, names(&["zone-2"])));
    assert_eq!(run(&["zone-9", "--undo"]), (failure, names(&["zone-2"])));
    assert_eq!(platform.evacuated().1, 2, "no command had an effect twice");
    let status = evacuate_at(platform.process, &["zone-2", "--undo", "--wait", "0"]);
    assert_eq!(
        (status, platform.evacuated().0),
        (failure, names(&["zone-2"]))
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
    assert_eq!(platform.evacuated(), (vec!["zone-1".to_owned()], 1));
    let status = platform.evacuate(&["zone-1", "--undo", "--wait", "0"]);
    assert_eq!(status, ExitStatus::Pending);
    platform.clear_faults();
    let status = platform.evacuate(&["zone-1", "--undo"]);
    assert_eq!(status, ExitStatus::Success);
    assert_eq!(platform.evacuated(), (vec![], 1));
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
    assert_eq!(platform.evacuated(), (vec![], 0));
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
    assert_eq!(platform.evacuated().0.len(), 1);
}
