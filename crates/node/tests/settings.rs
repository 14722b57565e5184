//! Settings from the command line and the environment.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::process;

use redwing_node::settings::{self, CommandChoice, NodeSettings, PathLimits};
use rstest::rstest;

#[rstest]
#[case::threads("--traffic-threads", "0", "1..=64")]
#[case::seconds("--connect-timeout", "0", "from 0.01 to 60")]
#[case::not_a_number("--leave-delay", "soon", "from 0 to 300")]
#[case::not_finite("--stop-timeout", "NaN", "from 0.1 to 86400")]
#[case::bytes("--header-bytes", "10", "1024..=65536")]
#[case::address("--listen", "localhost", "invalid socket address")]
#[case::name("--node", "Entry_1", "1 to 63 lower-case letters")]
#[case::platform("--platform", "ftp://x", "embedded or http://IP:PORT")]
#[case::format("--log-format", "xml", "text or json")]
#[case::level("--log-level", "loud", "error, warn, info or debug")]
fn the_error_for_an_invalid_value_names_flag_value_and_range(
    #[case] flag: &str,
    #[case] value: &str,
    #[case] range: &str,
) {
    let mut arguments = vec!["serve"];
    if flag != "--platform" {
        arguments.extend(["--platform", "embedded"]);
    }
    arguments.extend([flag, value]);
    let output = process::Command::new(env!("CARGO_BIN_EXE_redwinglb"))
        .args(arguments)
        .output()
        .unwrap();
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{message}");
    for part in [flag, value, range] {
        assert!(message.contains(part), "no {part:?} in {message}");
    }
    assert!(output.stdout.is_empty());
}

#[test]
fn an_invalid_variable_is_refused_like_its_flag() {
    let output = process::Command::new(env!("CARGO_BIN_EXE_redwinglb"))
        .args(["serve", "--platform", "embedded"])
        .env("REDWING_TRAFFIC_THREADS", "900")
        .output()
        .unwrap();
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(message.contains("--traffic-threads") && message.contains("1..=64"));
}

fn serve_settings(arguments: &[&str]) -> NodeSettings {
    let line = ["redwinglb", "serve"].iter().chain(arguments);
    let matches = settings::command().try_get_matches_from(line).unwrap();
    match settings::from_matches(&matches) {
        Some(CommandChoice::Serve(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

#[test]
fn flag_defaults_match_the_default_settings() {
    let settings = serve_settings(&["--platform", "embedded"]);
    assert_eq!(settings.limits, PathLimits::default());
}

#[test]
fn each_flag_has_an_environment_variable() {
    let command = settings::command();
    let serve = command.find_subcommand("serve").unwrap();
    for flag in serve.get_arguments().filter(|flag| flag.get_id() != "help") {
        let name = flag.get_long().unwrap();
        let variable = format!("REDWING_{}", name.replace('-', "_").to_uppercase());
        assert_eq!(flag.get_env().unwrap(), variable.as_str());
    }
}

/// Guards against a bound that no process can keep.
#[rstest]
#[case::none("none", Ok(None))]
#[case::shortest("5", Ok(Some(5)))]
#[case::too_short("4.9", Err(()))]
#[case::not_finite("NaN", Err(()))]
fn an_evacuation_bound_is_none_or_long_enough(
    #[case] value: &str,
    #[case] expected: Result<Option<u64>, ()>,
) {
    let arguments = ["--platform", "embedded", "--evacuation-bound", value];
    let line = ["redwinglb", "serve"].into_iter().chain(arguments);
    let parsed = settings::command().try_get_matches_from(line);
    assert_eq!(parsed.is_ok(), expected.is_ok());
    if let Ok(seconds) = expected {
        let bound = serve_settings(&arguments).evacuation_bound;
        assert_eq!(bound.map(|bound| bound.as_secs()), seconds);
    }
}
