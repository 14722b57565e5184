//! Lines that an entry process with the embedded platform prints when it starts.

use redwing_model::{CustomerName, QueueName};

use super::experiment::{LoadExperiment, LoadStream};

/// Completes `experiment` with the addresses and keys in `text`.
///
/// Each `listen` line adds a target, each `key` line a stream, and each
/// `queue NAME open` line a stream without a key. The first `backend` line adds
/// a backend server; the others of that process tell the same counts. Other
/// lines are passed over. Streams that the experiment already
/// names take their key from here and are not added again.
pub fn parse_startup(text: &str, experiment: &mut LoadExperiment) {
    let mut has_backend = false;
    let named = !experiment.streams.is_empty();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["listen", base] => experiment.targets.push((*base).to_owned()),
            ["backend", base] if !has_backend => {
                experiment.backends.push((*base).to_owned());
                has_backend = true;
            }
            ["key", customer, queue, key] => add_key(experiment, named, customer, queue, key),
            ["queue", queue, "open"] if !named => add_open(experiment, queue),
            _ => {}
        }
    }
}

fn add_key(experiment: &mut LoadExperiment, named: bool, customer: &str, queue: &str, key: &str) {
    let (Ok(customer), Ok(queue)) = (CustomerName::new(customer), QueueName::new(queue)) else {
        return;
    };
    if !named {
        experiment.streams.push(LoadStream {
            customer,
            queue,
            key: key.to_owned(),
            ..LoadStream::default()
        });
        return;
    }
    for stream in &mut experiment.streams {
        if stream.customer == customer && stream.queue == queue && stream.key.is_empty() {
            stream.key = key.to_owned();
        }
    }
}

fn add_open(experiment: &mut LoadExperiment, queue: &str) {
    let Ok(queue) = QueueName::new(queue) else {
        return;
    };
    experiment.streams.push(LoadStream {
        queue,
        ..LoadStream::default()
    });
}
