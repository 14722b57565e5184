//! Names of customers, queues, pools, VMs, nodes and failure domains.

use std::fmt;
use std::str;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// Largest length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Checks that `text` is a lower-case DNS-style label.
fn check_label(kind: &'static str, text: &str) -> Result<()> {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let ends_allowed = !text.starts_with('-') && !text.ends_with('-');
    if !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && ends_allowed
        && text.bytes().all(is_allowed)
    {
        return Ok(());
    }
    Err(Error::invalid_name(kind, text))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        ///
        /// A lower-case label of 1 to 63 letters, digits and inner hyphens. Cloning is cheap.
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Creates a name from `text`.
            ///
            /// # Errors
            ///
            /// Fails if `text` is not a lower-case label of 1 to 63 characters.
            pub fn new(text: &str) -> Result<Self> {
                check_label($kind, text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl str::FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                Self::new(&text)
            }
        }
    };
}

name_type!(
    /// Name of a data centre, a failure domain that can fail as a whole.
    DataCentre,
    "data centre"
);
name_type!(
    /// Name of an entry VM, as set in its settings.
    NodeId,
    "node"
);
name_type!(
    /// Name of a pool of VMs.
    PoolName,
    "pool"
);
name_type!(
    /// Name of a queue, which is also the name of its class of work.
    QueueName,
    "queue"
);
name_type!(
    /// Name of a rack, the smallest shared failure domain.
    RackName,
    "rack"
);
name_type!(
    /// Name of a customer that submits work.
    CustomerName,
    "customer"
);
name_type!(
    /// Name of a VM that runs a backend server.
    VmId,
    "VM"
);

/// Name of a class of work; each queue serves exactly one class.
pub type ClassName = QueueName;

/// Incarnation of an entry process on an entry VM.
///
/// A process that restarts on the same VM has a higher `epoch`, which sets
/// its messages and owned tokens apart from those of earlier incarnations.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeIncarnation {
    /// Name of the entry VM.
    pub node: NodeId,
    /// Number of the incarnation; grows with each start of the process.
    pub epoch: u64,
}

impl fmt::Display for NodeIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.node, self.epoch)
    }
}

impl str::FromStr for NodeIncarnation {
    type Err = Error;

    /// Parses the `Display` format, `NODE.EPOCH`.
    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::invalid_name("node incarnation", text);
        let (node, epoch) = text.rsplit_once('.').ok_or_else(invalid)?;
        let node = NodeId::new(node)?;
        let epoch = epoch.parse().map_err(|_| invalid())?;
        Ok(Self { node, epoch })
    }
}
