//! Checks of documentation pages against the code and tests that they describe.

use std::collections::BTreeSet;
use std::fs;
use std::path;

use redwing_ctl::command;

fn read(page: &str) -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(page)).unwrap_or_else(|error| panic!("{page}: {error}"))
}

/// Returns every text in backquotes on lines that start with `start`.
fn quoted(text: &str, start: &str) -> Vec<String> {
    text.lines()
        .filter(|line| line.starts_with(start))
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_test_named_by_the_readme_exists() {
    let names: Vec<String> = quoted(&read("README.md"), "| ")
        .into_iter()
        .filter(|name| name.contains("::"))
        .collect();
    assert!(names.len() > 10, "{names:?}");
    for name in names {
        let (file, function) = name.split_once("::").expect("file::function");
        let found = read(file).contains(&format!("fn {function}("));
        assert!(found, "{name} does not exist");
    }
}

#[test]
fn every_page_named_by_the_readme_exists() {
    let text = read("README.md");
    let targets = text.split("](").skip(1);
    for target in targets.filter_map(|rest| rest.split(')').next()) {
        assert!(!read(target).is_empty(), "{target} is empty");
    }
}

/// Adds `subcommand --flag` for every flag of `command`.
fn collect_flags(prefix: &str, command: &clap::Command, flags: &mut BTreeSet<String>) {
    let name = format!("{prefix}{}", command.get_name());
    for flag in command.get_arguments().filter_map(clap::Arg::get_long) {
        flags.insert(format!("{name} --{flag}"));
    }
    for subcommand in command.get_subcommands() {
        collect_flags(&format!("{name} "), subcommand, flags);
    }
}

#[test]
fn subcommands_and_their_page_agree() {
    let mut flags = BTreeSet::new();
    for entry in command::COMMANDS {
        collect_flags("", &(entry.define)(), &mut flags);
    }
    let page: BTreeSet<String> = read("docs/operations/redwingctl.md")
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(str::to_owned)
        .collect();
    let missing: Vec<_> = flags.difference(&page).collect();
    let extra: Vec<_> = page.difference(&flags).collect();
    assert!(missing.is_empty(), "not on the page: {missing:?}");
    assert!(extra.is_empty(), "only on the page: {extra:?}");
}
