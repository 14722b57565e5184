//! Invalid flags are rejected before anything is sent.

use redwing_ctl::ExitStatus;
use rstest::rstest;

#[rstest]
#[case::no_subcommand(&[])]
#[case::unknown_subcommand(&["launch"])]
#[case::unknown_flag(&["load", "--frobnicate"])]
#[case::seconds_too_long(&["load", "--seconds", "90000"])]
#[case::not_a_number(&["load", "--rate", "fast"])]
#[case::no_target(&["load", "--stream", "a/q"])]
#[case::target_with_name(&["load", "--target", "http://example.org:80", "--stream", "a/q"])]
#[case::target_not_on_loopback(&["load", "--target", "http://192.0.2.1:80", "--stream", "a/q"])]
#[case::stream_without_queue(&["load", "--target", "http://127.0.0.1:1", "--stream", "a"])]
#[case::weights_for_other_targets(&[
    "load", "--target", "http://127.0.0.1:1", "--stream", "a/q", "--target-weights", "1,2",
])]
#[case::duplicates_without_key(&[
    "load", "--target", "http://127.0.0.1:1", "--stream", "a/q", "--duplicates", "0.5",
])]
fn invalid_flags_exit_with_status_2(#[case] arguments: &[&str]) {
    let mut line = vec!["redwingctl"];
    line.extend(arguments);
    assert_eq!(redwing_ctl::run(line), ExitStatus::Usage);
    assert_eq!(ExitStatus::Usage.code(), 2);
}

#[test]
fn help_exits_with_success() {
    assert_eq!(
        redwing_ctl::run(["redwingctl", "load", "--help"]),
        ExitStatus::Success
    );
}

#[rstest]
#[case::no_file(&["apply"])]
#[case::rollback_to_zero(&["rollback", "--to", "0"])]
#[case::wait_too_long(&["rollback", "--to", "1", "--wait", "9000"])]
#[case::change_id_with_space(&["rollback", "--to", "1", "--change-id", "a b"])]
#[case::hash_too_short(&["key", "withdraw", "--hash", "abc"])]
#[case::customer_in_capitals(&["key", "grant", "--team", "Housing"])]
#[case::age_without_unit(&["audit", "--since", "15"])]
#[case::missing_file(&["apply", "-f", "/nonexistent/fleet.toml"])]
fn invalid_flags_of_changes_exit_with_status_2(#[case] arguments: &[&str]) {
    let mut line = vec!["redwingctl"];
    line.extend(arguments);
    line.extend(["--admin", "http://127.0.0.1:9", "--token", "t"]);
    assert_eq!(redwing_ctl::run(line), ExitStatus::Usage);
}

#[rstest]
#[case::no_address(&["platform", "--listen", "here"])]
#[case::not_on_loopback(&["platform", "--listen", "192.0.2.1:1"])]
#[case::no_workers(&["platform", "--workers", "0"])]
#[case::no_fault_file(&["platform", "--faults", "/nonexistent/faults.toml"])]
fn invalid_flags_of_the_platform_exit_with_status_2(#[case] arguments: &[&str]) {
    let mut line = vec!["redwingctl"];
    line.extend(arguments);
    assert_eq!(redwing_ctl::run(line), ExitStatus::Usage);
}

#[test]
fn a_platform_on_a_port_in_use_exits_with_failure() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("get the listener's address");
    let line = ["redwingctl", "platform", "--listen", &address.to_string()];
    assert_eq!(redwing_ctl::run(line), ExitStatus::Failure);
}
