//! Rendezvous hashing of keys over members.

use redwing_model::NodeIncarnation;
use xxhash_rust::xxh3;

/// Returns the weight of `member` for `key`; the highest weight wins.
///
/// The epoch is ignored, so that a restart moves no tokens.
pub fn weight(key: &str, member: &NodeIncarnation) -> u64 {
    let seed = xxh3::xxh3_64(member.node.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(key.as_bytes(), seed)
}

/// Returns the member with the highest weight for `key`.
pub fn winner<'a>(key: &str, members: &'a [NodeIncarnation]) -> Option<&'a NodeIncarnation> {
    members.iter().max_by_key(|member| weight(key, member))
}

/// Returns the members by descending weight for `key`.
pub fn ranking<'a>(key: &str, members: &'a [NodeIncarnation]) -> Vec<&'a NodeIncarnation> {
    let mut ranked: Vec<&NodeIncarnation> = members.iter().collect();
    ranked.sort_by_cached_key(|member| std::cmp::Reverse(weight(key, member)));
    ranked
}
