//! Parsing of names, node incarnations and access keys.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::{AccessKey, CustomerName, KeyHash, NodeIncarnation};
use rstest::rstest;

#[rstest]
#[case::one_letter("a", true)]
#[case::digits("42", true)]
#[case::inner_hyphen("housing-authority", true)]
#[case::max_length(&"a".repeat(63), true)]
#[case::too_long(&"a".repeat(64), false)]
#[case::empty("", false)]
#[case::capital("Housing", false)]
#[case::leading_hyphen("-a", false)]
#[case::trailing_hyphen("a-", false)]
#[case::space("a b", false)]
#[case::slash("a/b", false)]
#[case::dot("a.b", false)]
#[case::accent("qu\u{e9}bec", false)]
#[case::control("a\n", false)]
fn names_are_lower_case_labels(#[case] text: &str, #[case] valid: bool) {
    let name = CustomerName::new(text);
    assert_eq!(name.is_ok(), valid);
    if let Err(error) = name {
        assert!(error.to_string().contains("customer"), "{error}");
    }
    let json = serde_json::json!(text);
    assert_eq!(
        serde_json::from_value::<CustomerName>(json).is_ok(),
        valid,
        "serde and `new` disagree on {text:?}"
    );
}

#[rstest]
#[case("entry-1.3", true)]
#[case("entry-1.", false)]
#[case("entry-1", false)]
#[case(".3", false)]
#[case("entry.1.3", false)]
#[case("entry-1.-3", false)]
fn incarnation_parses_as_node_and_epoch(#[case] text: &str, #[case] valid: bool) {
    let parsed = text.parse::<NodeIncarnation>();
    assert_eq!(parsed.is_ok(), valid);
    if let Ok(incarnation) = parsed {
        assert_eq!(incarnation.to_string(), text);
    }
}

#[test]
fn generated_keys_differ_and_debug_hides_the_secret() {
    let first = AccessKey::generate();
    let second = AccessKey::generate();
    assert_ne!(first.expose(), second.expose());
    assert_eq!(first.expose().len(), 64);
    assert!(!format!("{first:?}").contains(first.expose()));
    assert_eq!(first.hash(), KeyHash::of(first.expose()));
    assert_ne!(first.hash(), second.hash());
}

#[test]
fn key_hash_is_the_sha256_digest() {
    // SHA-256 digest of "abc", from FIPS 180-4.
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(KeyHash::of("abc").to_hex(), expected);
    assert_eq!(KeyHash::from_hex(expected).unwrap(), KeyHash::of("abc"));
}

#[rstest]
#[case::short("ba78")]
#[case::capitals("BA7816BF8F01CFEA414140DE5DAE2223B00361A396177A9CB410FF61F20015AD")]
#[case::not_hexadecimal("za7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")]
#[case::multibyte_characters(
    "\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}"
)]
fn malformed_key_hash_is_rejected(#[case] text: &str) {
    assert!(KeyHash::from_hex(text).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    #[test]
    fn parsing_any_text_never_panics(text in "\\PC{0,80}") {
        let _ = CustomerName::new(&text);
        let _ = text.parse::<NodeIncarnation>();
        let _ = KeyHash::from_hex(&text);
    }

    #[test]
    fn key_hash_round_trips_through_hex_and_json(secret in "\\PC{0,80}") {
        let hash = KeyHash::of(&secret);
        prop_assert_eq!(KeyHash::from_hex(&hash.to_hex()).unwrap(), hash);
        let json = serde_json::to_string(&hash).unwrap();
        prop_assert_eq!(serde_json::from_str::<KeyHash>(&json).unwrap(), hash);
    }
}
