//! Names and ids that callers, operators and the platform choose: any text is valid.

use std::fmt;
use std::str;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Cloning is cheap.
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Creates a name from its text.
            pub fn new(text: &str) -> Self {
                Self(text.into())
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

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

text_name! {
    /// Id of a job, chosen by its caller; the same id is the same job.
    JobId
}
text_name! {
    /// Name of a queue.
    QueueName
}
text_name! {
    /// Name of a pool of machines.
    PoolName
}
text_name! {
    /// Name of a customer.
    CustomerName
}
text_name! {
    /// Id of a worker, a backend server that runs tasks. A later worker may have the
    /// same id; their incarnations differ.
    WorkerId
}
text_name! {
    /// Name of a machine, which runs one worker at a time.
    MachineName
}
text_name! {
    /// Label of a worker; its rack is one of them.
    WorkerLabel
}
text_name! {
    /// Name of a data centre, a failure domain that can fail as a whole.
    DataCentre
}

/// Name of a task, written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct TaskId {
    /// Job of the task.
    pub job: JobId,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u32,
    /// Number of the task in its step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Returns whether both tasks belong to the same step of the same occurrence.
    pub(crate) fn is_of_step(&self, other: &Self) -> bool {
        self.job == other.job && self.occurrence == other.occurrence && self.step == other.step
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

impl From<TaskId> for String {
    fn from(task: TaskId) -> Self {
        task.to_string()
    }
}

impl TryFrom<String> for TaskId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl str::FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || Error::TaskName(text.to_owned());
        let mut parts = text.rsplitn(4, '.');
        let mut number = || -> Result<u32> {
            let part = parts.next().ok_or_else(malformed)?;
            part.parse().map_err(|_| malformed())
        };
        let index = number()?;
        let step = number()?;
        let occurrence = number()?;
        let job = JobId::new(parts.next().ok_or_else(malformed)?);
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}
