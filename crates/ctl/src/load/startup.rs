//! Parser of the lines that an entry process with the embedded platform prints
//! when it starts.

use redwing_model::{CustomerName, QueueName};

use super::experiment::{LoadExperiment, LoadStream};

/// Completes `experiment` with the addresses and keys in `text`.
///
/// Each `listen` line adds a target, each `key` line a stream, and each
/// `queue NAME open` line a stream without a key. Only the first `backend` line
/// adds a backend server, because all backend servers of that process report the
/// same counts. Other lines are ignored. If the experiment already has streams,
/// none are added; those without a key receive the one of their customer and
/// queue.
pub fn parse_startup(text: &str, experiment: &mut LoadExperiment) {
    let mut has_backend = false;
    let has_streams = !experiment.streams.is_empty();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["listen", base_url] => experiment.targets.push((*base_url).to_owned()),
            ["backend", base_url] if !has_backend => {
                experiment.backends.push((*base_url).to_owned());
                has_backend = true;
            }
            ["key", customer, queue, key] => {
                add_keyed_stream(experiment, has_streams, customer, queue, key)
            }
            ["queue", queue, "open"] if !has_streams => add_open_stream(experiment, queue),
            _ => {}
        }
    }
}

fn add_keyed_stream(
    experiment: &mut LoadExperiment,
    has_streams: bool,
    customer: &str,
    queue: &str,
    key: &str,
) {
    let (Ok(customer), Ok(queue)) = (CustomerName::new(customer), QueueName::new(queue)) else {
        return;
    };
    if !has_streams {
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

fn add_open_stream(experiment: &mut LoadExperiment, queue: &str) {
    let Ok(queue) = QueueName::new(queue) else {
        return;
    };
    experiment.streams.push(LoadStream {
        queue,
        ..LoadStream::default()
    });
}
