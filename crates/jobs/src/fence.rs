//! Fencing tokens of owners, and of their orders to workers.
//!
//! Load pattern: workers that crash and start again under their ids, while orders to them are
//! on their way for seconds. A worker keeps the highest token that it has seen and rejects
//! lower ones, but a new incarnation has seen none. So the token of an order grows with each
//! new incarnation of a worker that its owner learns of: from its first order on, the new
//! incarnation rejects what was sent to the one before.

/// Number of tokens that an owner has for its orders: enough for two years in which fourteen
/// workers start again each second.
const TOKENS_PER_OWNER: u64 = 1 << 30;

/// Returns the token of the owner that succeeds the one with the token `previous`: higher than
/// those of all orders of that owner.
pub fn next_owner_token(previous: Option<u64>) -> u64 {
    previous.map_or(1, |token| token.saturating_add(TOKENS_PER_OWNER))
}

/// Returns the token of an order that the owner with the token `owner` sends in a session with
/// a worker; none if its tokens are used up.
pub fn order_token(owner: u64, session: u64) -> Option<u64> {
    let is_left = session < TOKENS_PER_OWNER;
    is_left.then(|| owner.saturating_add(session))
}
