//! tmp
