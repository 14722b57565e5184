//! Parsing, validation and encoding of fleet declarations.

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

/// Valid declaration, which the tests modify.
const VALID_DECLARATION: &str = "spare-pool = \"spare\"\n\
    [pools.spare]\nvms = 4\nmax-unavailable = 1\n\
    [queues.mail]\npool = \"spare\"\nshares = { sales = 0.5, post = 0.5 }\n\
    [teams.sales]\nlimit = 8\n\
    [teams.post]\nlimit = 4\n";

fn read_example(name: &str) -> String {
    let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(path).expect("readable example file")
}

#[rstest]
#[case::laurentien("laurentien.toml", PolicyProfile::ShareFirst)]
#[case::board("board.toml", PolicyProfile::BufferFirst)]
fn example_declarations_have_expected_sizes(#[case] name: &str, #[case] profile: PolicyProfile) {
    let fleet = redwing_model::from_toml(&read_example(name)).expect("valid declaration");
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
    let spare = fleet.spare_pool.expect("declared spare pool");
    assert_eq!(spare.as_str(), "general-administration");
    let keyed = fleet.queues.values().filter(|queue| !queue.open);
    for queue in keyed {
        let sum: f64 = queue.shares.values().sum();
        assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    }
}

#[test]
fn omitted_fields_take_their_defaults() {
    let fleet = redwing_model::from_toml(VALID_DECLARATION).unwrap();
    let pool = &fleet.pools[&PoolName::new("spare").unwrap()];
    assert_eq!(pool.long_requests, LongRequestPolicy::Wait);
    assert_eq!(pool.drain_seconds, 30);
    let queue = &fleet.queues[&QueueName::new("mail").unwrap()];
    assert!(!queue.open);
    assert_eq!(queue.max_timeout_seconds, 60);
}

#[rstest]
#[case::truncated("[pools", 1, 7)]
#[case::wrong_type("[pools.a]\nvms = \"ten\"\nmax-unavailable = 0\n", 2, 7)]
#[case::negative("[pools.a]\nvms = -1\nmax-unavailable = 0\n", 2, 7)]
#[case::capitals("[pools.Reports]\nvms = 1\nmax-unavailable = 0\n", 1, 8)]
#[case::missing_field("[pools.a]\nvms = 1\n", 1, 1)]
#[case::duplicate_field("[pools.a]\nvms = 1\nvms = 1\nmax-unavailable = 0\n", 3, 1)]
#[case::unknown_profile("profile = \"fast\"\n", 1, 11)]
#[case::after_multibyte_characters("# \u{e9}\u{e9}\nprofile = 3\n", 2, 11)]
fn malformed_text_is_rejected_with_its_position(
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
#[case::vm_address("vms = 4", "vms = 4\naddress = \"10.0.0.1\"", "pools.spare.address", 4)]
#[case::budget_above_pool_size(
    "max-unavailable = 1",
    "max-unavailable = 5",
    "pools.spare.max-unavailable",
    4
)]
#[case::zero_drain(
    "vms = 4",
    "vms = 4\ndrain-seconds = 0",
    "pools.spare.drain-seconds",
    4
)]
#[case::pool_size_too_large("vms = 4", "vms = 4000000000", "pools.spare.vms", 3)]
#[case::undeclared_pool("\npool = \"spare\"", "\npool = \"gone\"", "queues.mail.pool", 6)]
#[case::undeclared_spare_pool("spare-pool = \"spare\"", "spare-pool = \"gone\"", "spare-pool", 1)]
#[case::share_sum_above_one("sales = 0.5", "sales = 0.6", "queues.mail.shares", 7)]
#[case::zero_share("sales = 0.5", "sales = 0.0", "queues.mail.shares.sales", 7)]
#[case::share_not_a_number("sales = 0.5", "sales = nan", "queues.mail.shares.sales", 7)]
#[case::customer_without_limit("[teams.post]\nlimit = 4\n", "", "queues.mail.shares.post", 7)]
#[case::zero_limit("limit = 4", "limit = 0", "teams.post.limit", 11)]
#[case::limit_too_large("limit = 4", "limit = 4000000000", "teams.post.limit", 11)]
#[case::zero_timeout(
    "\npool = \"spare\"",
    "\npool = \"spare\"\nmax-timeout-seconds = 0",
    "queues.mail.max-timeout-seconds",
    7
)]
fn invalid_content_is_rejected_with_field_and_line(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] line: usize,
) {
    let error = redwing_model::from_toml(&VALID_DECLARATION.replacen(from, to, 1)).unwrap_err();
    assert_eq!(error.classify(), Category::Data);
    let first = error
        .declaration_errors()
        .first()
        .expect("declaration error");
    assert_eq!(first.field, field);
    assert_eq!(
        first.position.map(|position| position.line),
        Some(line),
        "{error}"
    );
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = VALID_DECLARATION
        .replace("max-unavailable = 1", "max-unavailable = 9\nweight = 1")
        .replace("limit = 8", "limit = 0")
        .replace("\npool = \"spare\"\n", "\npool = \"gone\"\nhost = \"x\"\n");
    let error = redwing_model::from_toml(&text).unwrap_err();
    let mut fields: Vec<&str> = error
        .declaration_errors()
        .iter()
        .map(|error| error.field.as_str())
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

/// A declaration gives numbers of VMs and no VM names, so that no VM can belong
/// to two pools.
#[test]
fn vms_cannot_be_listed_by_name() {
    let text = VALID_DECLARATION.replace("vms = 4", "vms = [\"vm-1\", \"vm-2\"]");
    let error = redwing_model::from_toml(&text).unwrap_err();
    assert_eq!(error.position().map(|position| position.line), Some(3));
}

fn name_strategy() -> impl Strategy<Value = String> {
    "[a-z0-9]([a-z0-9-]{0,8}[a-z0-9])?"
}

prop_compose! {
    fn pool_targets()(pools in prop::collection::btree_map(
        name_strategy(), (1..200_u32, 0..200_u32, 1..900_u32, any::<bool>()), 1..5,
    )) -> BTreeMap<PoolName, PoolTarget> {
        let pool = |(vms, max_unavailable, drain_seconds, waits): (u32, u32, u32, bool)| PoolTarget {
            vms,
            max_unavailable: max_unavailable.min(vms),
            drain_seconds,
            long_requests: if waits { LongRequestPolicy::Wait } else { LongRequestPolicy::Checkpoint },
        };
        let name = |text: String| PoolName::new(&text).expect("valid name");
        pools.into_iter().map(|(text, values)| (name(text), pool(values))).collect()
    }
}

prop_compose! {
    fn fleet_declarations()(
        pools in pool_targets(),
        customers in prop::collection::btree_map(name_strategy(), 1..500_u32, 0..5),
        queues in prop::collection::btree_map(name_strategy(), (any::<bool>(), 1..900_u32, any::<prop::sample::Index>()), 0..5),
        with_spare in any::<bool>(),
        buffer_first in any::<bool>(),
    ) -> FleetDeclaration {
        let customers: BTreeMap<CustomerName, CustomerTarget> = customers
            .into_iter()
            .map(|(name, limit)| (CustomerName::new(&name).expect("valid name"), CustomerTarget { limit }))
            .collect();
        let pool_names: Vec<PoolName> = pools.keys().cloned().collect();
        let shares: BTreeMap<CustomerName, f64> =
            customers.keys().map(|customer| (customer.clone(), 1.0 / 8.0)).collect();
        let queue = |(open, timeout_seconds, pool): (bool, u32, prop::sample::Index)| QueueTarget {
            pool: pool.get(&pool_names).clone(),
            open,
            max_timeout_seconds: timeout_seconds,
            max_body_bytes: 1_024,
            max_waiting_per_customer: 10,
            shares: shares.clone(),
        };
        let queues = queues
            .into_iter()
            .map(|(name, values)| (QueueName::new(&name).expect("valid name"), queue(values)))
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

fn proptest_config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config(11, 400))]

    #[test]
    fn declaration_round_trips_through_toml(fleet in fleet_declarations()) {
        let text = redwing_model::to_toml(&fleet).unwrap();
        prop_assert_eq!(redwing_model::from_toml(&text).unwrap(), fleet);
    }

    #[test]
    fn parsing_any_declaration_text_never_panics(text in "\\PC{0,200}") {
        let _ = redwing_model::from_toml(&text);
    }

    #[test]
    fn parsing_a_damaged_declaration_never_panics(
        start in any::<prop::sample::Index>(),
        length in 0..30_usize,
        replacement in "[\\[\\]a-zA-Z0-9.=\"'\n{},\u{e9}-]{0,12}",
    ) {
        let mut text = read_example("laurentien.toml");
        let from = start.index(text.len());
        let to = (from + length).min(text.len());
        if text.is_char_boundary(from) && text.is_char_boundary(to) {
            text.replace_range(from..to, &replacement);
        }
        if let Err(error) = redwing_model::from_toml(&text) {
            prop_assert!(!error.to_string().is_empty());
        }
    }
}
