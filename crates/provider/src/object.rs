//! The platform's object store.

use crate::LocalFuture;
use crate::error::Result;

/// Object store of the platform; objects are immutable.
pub trait ObjectStore {
    /// Writes an object; writing the same content again has no effect.
    ///
    /// # Errors
    ///
    /// Fails with category `Refused` if an object of this name exists with other
    /// content.
    fn put<'a>(&'a self, name: &'a str, content: &'a [u8]) -> LocalFuture<'a, Result<()>>;

    /// Reads an object, or `None` if there is none of this name.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond in time.
    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>>>;

    /// Lists the names that start with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond in time.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<String>>>;
}
