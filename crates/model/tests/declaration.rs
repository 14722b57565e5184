//! Declarations: what is read, what is refused, and with which words.

use std::collections::BTreeMap;
use std::fs;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::declaration::{
    CustomerTarget, LongRequestPolicy, PolicyProfile, PoolTarget, QueueTarget,
};
use redwing_model::error::TextPosition;
use redwing_model::{Category, CustomerName, FleetDeclaration, PoolName, QueueName};
use rstest::rstest;

/// A declaration without a fault.
const PLAIN: &str = "spare-pool = \"spare\"\n\
    [pools.spare]\nvms = 4\nmax-unavailable = 1\n\
    [queues.mail]\npool = \"spare\"\nshares = { sales = 0.5, post = 0.5 }\n\
    [teams.sales]\nlimit = 8\n\
    [teams.post]\nlimit = 4\n";

fn example(name: &str) -> String {
    let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(path).expect("an example")
}

#[rstest]
#[case::laurentien("laurentien.toml", PolicyProfile::ShareFirst)]
#[case::board("board.toml", PolicyProfile::BufferFirst)]
fn the_examples_have_the_sizes_of_today(#[case] name: &str, #[case] profile: PolicyProfile) {
    let fleet = redwing_model::from_toml(&example(name)).expect("a declaration");
    assert_eq!(fleet.profile, profile);
    assert_eq!(fleet.pools.len(), 5);
    assert_eq!(fleet.customers.len(), 6);
    assert_eq!(fleet.pools.values().map(|pool| pool.vms).sum::<u32>(), 50);
    assert!(
        fleet
            .pools
            .values()
            .all(|pool| (8..=12).contains(&pool.vms))
    );
    let spare = fleet.spare_pool.expect("a spare pool");
    assert_eq!(spare.as_str(), "general-administration");
    let keyed = fleet.queues.values().filter(|queue| !queue.open);
    for queue in keyed {
        let sum: f64 = queue.shares.values().sum();
        assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    }
}

#[test]
fn a_plain_declaration_has_the_defaults() {
    let fleet = redwing_model::from_toml(PLAIN).unwrap();
    let pool = &fleet.pools[&PoolName::new("spare").unwrap()];
    assert_eq!(pool.long_requests, LongRequestPolicy::Wait);
    assert_eq!(pool.drain_seconds, 30);
    let queue = &fleet.queues[&QueueName::new("mail").unwrap()];
    assert!(!queue.open);
    assert_eq!(queue.max_timeout_seconds, 60);
}

#[rstest]
#[case::cut_short("[pools", 1, 7)]
#[case::wrong_type("[pools.a]\nvms = \"ten\"\nmax-unavailable = 0\n", 2, 7)]
#[case::negative("[pools.a]\nvms = -1\nmax-unavailable = 0\n", 2, 7)]
#[case::capitals("[pools.Reports]\nvms = 1\nmax-unavailable = 0\n", 1, 8)]
#[case::lacks_a_field("[pools.a]\nvms = 1\n", 1, 1)]
#[case::field_twice("[pools.a]\nvms = 1\nvms = 1\nmax-unavailable = 0\n", 3, 1)]
#[case::unknown_profile("profile = \"fast\"\n", 1, 11)]
#[case::after_wide_characters("# \u{e9}\u{e9}\nprofile = 3\n", 2, 11)]
fn malformed_text_is_refused_with_its_place(
    #[case] text: &str,
    #[case] line: usize,
    #[case] column: usize,
) {
    let error = redwing_model::from_toml(text).unwrap_err();
    assert_eq!(error.classify(), Category::Syntax);
    assert_eq!(
        error.position(),
        Some(TextPosition { line, column }),
        "{error}"
    );
}

#[rstest]
#[case::unknown_field("vms = 4", "vms = 4\nweight = 1", "pools.spare.weight", 4)]
#[case::unknown_table("[teams.sales]", "[vms.a]\npool = 1\n[teams.sales]", "vms", 8)]
#[case::address("vms = 4", "vms = 4\naddress = \"10.0.0.1\"", "pools.spare.address", 4)]
#[case::budget(
    "max-unavailable = 1",
    "max-unavailable = 5",
    "pools.spare.max-unavailable",
    4
)]
#[case::no_drain(
    "vms = 4",
    "vms = 4\ndrain-seconds = 0",
    "pools.spare.drain-seconds",
    4
)]
#[case::huge_pool("vms = 4", "vms = 4000000000", "pools.spare.vms", 3)]
#[case::no_pool("\npool = \"spare\"", "\npool = \"gone\"", "queues.mail.pool", 6)]
#[case::no_spare("spare-pool = \"spare\"", "spare-pool = \"gone\"", "spare-pool", 1)]
#[case::share_sum("sales = 0.5", "sales = 0.6", "queues.mail.shares", 7)]
#[case::share_zero("sales = 0.5", "sales = 0.0", "queues.mail.shares.sales", 7)]
#[case::share_not_a_number("sales = 0.5", "sales = nan", "queues.mail.shares.sales", 7)]
#[case::no_limit("[teams.post]\nlimit = 4\n", "", "queues.mail.shares.post", 7)]
#[case::limit_zero("limit = 4", "limit = 0", "teams.post.limit", 11)]
#[case::limit_huge("limit = 4", "limit = 4000000000", "teams.post.limit", 11)]
#[case::no_timeout(
    "\npool = \"spare\"",
    "\npool = \"spare\"\nmax-timeout-seconds = 0",
    "queues.mail.max-timeout-seconds",
    7
)]
fn content_that_cannot_hold_is_refused_with_field_and_line(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] line: usize,
) {
    let error = redwing_model::from_toml(&PLAIN.replacen(from, to, 1)).unwrap_err();
    assert_eq!(error.classify(), Category::Data);
    let fault = error.declaration_errors().first().expect("a fault");
    assert_eq!(fault.field, field);
    assert_eq!(
        fault.position.map(|position| position.line),
        Some(line),
        "{error}"
    );
}

#[test]
fn every_fault_is_told_at_once() {
    let text = PLAIN
        .replace("max-unavailable = 1", "max-unavailable = 9\nweight = 1")
        .replace("limit = 8", "limit = 0")
        .replace("\npool = \"spare\"\n", "\npool = \"gone\"\nhost = \"x\"\n");
    let error = redwing_model::from_toml(&text).unwrap_err();
    let mut fields: Vec<&str> = error
        .declaration_errors()
        .iter()
        .map(|fault| fault.field.as_str())
        .collect();
    fields.sort_unstable();
    let expected = [
        "pools.spare.max-unavailable",
        "pools.spare.weight",
        "queues.mail.host",
        "queues.mail.pool",
        "teams.sales.limit",
    ];
    assert_eq!(fields, expected);
    assert_eq!(error.to_string().lines().count(), expected.len());
}

/// A declaration gives numbers of VMs and never names one, so that no VM can
/// stand in two pools.
#[test]
fn no_field_names_a_vm() {
    let listed = PLAIN.replace("vms = 4", "vms = [\"vm-1\", \"vm-2\"]");
    let error = redwing_model::from_toml(&listed).unwrap_err();
    assert_eq!(error.position().map(|position| position.line), Some(3));
}

fn names() -> impl Strategy<Value = String> {
    "[a-z0-9]([a-z0-9-]{0,8}[a-z0-9])?"
}

prop_compose! {
    fn pools()(pools in prop::collection::btree_map(
        names(), (1..200_u32, 0..200_u32, 1..900_u32, any::<bool>()), 1..5,
    )) -> BTreeMap<PoolName, PoolTarget> {
        let pool = |(vms, out, drain_seconds, waits): (u32, u32, u32, bool)| PoolTarget {
            vms,
            max_unavailable: out.min(vms),
            drain_seconds,
            long_requests: if waits { LongRequestPolicy::Wait } else { LongRequestPolicy::Checkpoint },
        };
        let name = |text: String| PoolName::new(&text).expect("a name");
        pools.into_iter().map(|(text, values)| (name(text), pool(values))).collect()
    }
}

prop_compose! {
    fn fleets()(
        pools in pools(),
        customers in prop::collection::btree_map(names(), 1..500_u32, 0..5),
        queues in prop::collection::btree_map(names(), (any::<bool>(), 1..900_u32, any::<prop::sample::Index>()), 0..5),
        with_spare in any::<bool>(),
        buffer_first in any::<bool>(),
    ) -> FleetDeclaration {
        let customers: BTreeMap<CustomerName, CustomerTarget> = customers
            .into_iter()
            .map(|(name, limit)| (CustomerName::new(&name).expect("a name"), CustomerTarget { limit }))
            .collect();
        let pool_names: Vec<PoolName> = pools.keys().cloned().collect();
        let shares: BTreeMap<CustomerName, f64> =
            customers.keys().map(|customer| (customer.clone(), 1.0 / 8.0)).collect();
        let queue = |(open, seconds, pool): (bool, u32, prop::sample::Index)| QueueTarget {
            pool: pool.get(&pool_names).clone(),
            open,
            max_timeout_seconds: seconds,
            max_body_bytes: 1_024,
            max_waiting_per_customer: 10,
            shares: shares.clone(),
        };
        let queues = queues
            .into_iter()
            .map(|(name, values)| (QueueName::new(&name).expect("a name"), queue(values)))
            .collect();
        FleetDeclaration {
            profile: if buffer_first { PolicyProfile::BufferFirst } else { PolicyProfile::ShareFirst },
            spare_pool: with_spare.then(|| pool_names[0].clone()),
            pools,
            queues,
            customers,
        }
    }
}

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(11, 400))]

    #[test]
    fn a_written_declaration_reads_back_as_it_was(fleet in fleets()) {
        let text = redwing_model::to_toml(&fleet).unwrap();
        prop_assert_eq!(redwing_model::from_toml(&text).unwrap(), fleet);
    }

    #[test]
    fn reading_any_text_never_panics(text in "\\PC{0,200}") {
        let _ = redwing_model::from_toml(&text);
    }

    #[test]
    fn reading_a_damaged_declaration_never_panics(
        at in any::<prop::sample::Index>(),
        length in 0..30_usize,
        patch in "[\\[\\]a-zA-Z0-9.=\"'\n{},\u{e9}-]{0,12}",
    ) {
        let mut text = example("laurentien.toml");
        let from = at.index(text.len());
        let to = (from + length).min(text.len());
        if text.is_char_boundary(from) && text.is_char_boundary(to) {
            text.replace_range(from..to, &patch);
        }
        if let Err(error) = redwing_model::from_toml(&text) {
            prop_assert!(!error.to_string().is_empty());
        }
    }
}
