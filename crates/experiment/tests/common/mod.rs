//! Load of one pool with a flood, for the tests.

/// Returns a load of 4 workers with 32 cores, of which the customers use about half,
/// and in which one customer floods the pool from 1 to 3 s.
pub(crate) fn small_load() -> String {
    r#"
seconds = 4.0
drain-seconds = 2.0

[[pools]]
name = "printers"
workers = 4
racks = 2

[[queues]]
name = "labels"
pool = "printers"
objective-ms = 400
stretch = 2.0

[[customers]]
name = "housing"
weight = 1.0

[[customers]]
name = "portal"
weight = 3.0

[[traffic]]
queue = "labels"
customer = "housing"
rate = 10.0
steps = [{ tasks = 2, estimate-ms = 200, duration-spread = 0.2 }]

[[traffic]]
queue = "labels"
customer = "portal"
rate = 25.0
steps = [{ tasks = 2, estimate-ms = 200 }, { estimate-ms = 100 }]

[[floods]]
customer = "housing"
from-seconds = 1.0
to-seconds = 3.0
factor = 30.0

[[lost-racks]]
pool = "printers"
rack = 1
from-seconds = 90.0
for-seconds = 1.0

[[slow-table]]
from-seconds = 0.0
to-seconds = 1.0
delay-ms = 0
"#
    .to_owned()
}
