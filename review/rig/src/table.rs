//! The platform's table: rows, transactions under conditions, and a feed of changes.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::clock;
use crate::http::{Reply, Request};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Largest number of rows in an answer.
const MAX_ROWS: usize = 500;

/// Table, part and key of a row.
type Location = (String, String, String);

#[derive(Clone)]
struct Change {
    version: u64,
    location: Location,
    /// Value in base64; none for a removed row.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Location, (u64, String)>,
    changes: Vec<Change>,
}

impl State {
    fn put(&mut self, location: Location, value: Option<String>) {
        match &value {
            Some(value) => {
                let row = (self.version, value.clone());
                self.rows.insert(location.clone(), row);
            }
            None => {
                self.rows.remove(&location);
            }
        }
        self.changes.push(Change {
            version: self.version,
            location,
            value,
        });
    }
}

/// The table.
#[derive(Default)]
pub struct Table {
    state: Mutex<State>,
    changed: Condvar,
}

fn location(row: &Value) -> Location {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn wire_row(location: &Location, version: u64, value: Option<&str>) -> Value {
    let (table, part, key) = location;
    let mut row = json!({"table": table, "part": part, "key": key, "schemaVersion": version});
    match value {
        Some(value) => row["value"] = json!(value),
        None => row["tombstone"] = json!(true),
    }
    row
}

impl Table {
    /// Writes a row as the operator or a worker does; none removes it.
    pub fn write(&self, table: &str, key: &str, value: Option<&Value>) {
        let mut state = self.state.lock().expect("no thread panics with the lock");
        state.version += 1;
        let location = (table.to_owned(), String::new(), key.to_owned());
        state.put(
            location,
            value.map(|value| encode_base64(value.to_string().as_bytes())),
        );
        self.changed.notify_all();
    }

    /// Returns the content of a row.
    pub fn read(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.state.lock().expect("no thread panics with the lock");
        let location = (table.to_owned(), String::new(), key.to_owned());
        let (_, value) = state.rows.get(&location)?;
        serde_json::from_slice(&decode_base64(value)).ok()
    }

    /// Handles a call of a process; none if the path is not one of the table.
    pub fn handle(&self, request: &Request) -> Option<Reply> {
        match request.path.as_str() {
            "/rows-tx" => Some(self.transact(request)),
            "/rows-get" => Some(self.range(request)),
            "/rows-feed" => Some(self.feed(request)),
            "/rows-parts" => Some(self.parts(request)),
            _ => None,
        }
    }

    fn transact(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Reply::Send(400, "{}".to_owned());
        };
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (conditions, puts, removed) = (list("expectedRev"), list("puts"), list("remove"));
        let foreign = puts.iter().chain(&removed);
        if foreign
            .clone()
            .any(|row| ["op", "servers"].contains(&row["table"].as_str().unwrap_or_default()))
        {
            return Reply::Send(403, "{}".to_owned());
        }
        let mut state = self.state.lock().expect("no thread panics with the lock");
        let version_of = |state: &State, row: &Value| {
            let row = state.rows.get(&location(row));
            row.map_or(0, |(version, _)| *version)
        };
        let is_met =
            |row: &Value| row["schemaVersion"].as_u64().unwrap_or(0) == version_of(&state, row);
        if !conditions.iter().all(is_met) {
            let rows = conditions.iter().filter_map(|row| {
                let location = location(row);
                let (version, value) = state.rows.get(&location)?;
                Some(wire_row(&location, *version, Some(value)))
            });
            let rows: Vec<Value> = rows.collect();
            let answer =
                json!({"rows": rows, "schemaVersion": state.version, "nowMs": clock::now_ms()});
            return Reply::Send(412, answer.to_string());
        }
        state.version += 1;
        for row in &puts {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            state.put(location(row), Some(value));
        }
        for row in &removed {
            state.put(location(row), None);
        }
        self.changed.notify_all();
        let answer = json!({"schemaVersion": state.version, "nowMs": clock::now_ms()});
        Reply::Send(200, answer.to_string())
    }

    fn range(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part) = (text("table"), text("part"));
        let (start, end) = (text("startKey"), text("target"));
        let limit = text("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.state.lock().expect("no thread panics with the lock");
        let first = (table.clone(), part.clone(), start);
        let rows = state.rows.range(first..);
        let mut rows = rows
            .take_while(|((row_table, row_part, key), _)| {
                *row_table == table && *row_part == part && (end.is_empty() || *key < end)
            })
            .map(|(location, (version, value))| wire_row(location, *version, Some(value)));
        let listed: Vec<Value> = rows.by_ref().take(limit).collect();
        let answer = json!({
            "rows": listed,
            "hasMore": rows.next().is_some(),
            "schemaVersion": state.version,
            "nowMs": clock::now_ms(),
        });
        Reply::Send(200, answer.to_string())
    }

    fn feed(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, after) = (text("table"), text("after").parse::<u64>().unwrap_or(0));
        let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
        let state = self.state.lock().expect("no thread panics with the lock");
        let is_news = |change: &&Change| change.version > after && change.location.0 == table;
        let waited = self.changed.wait_timeout_while(state, wait, |state| {
            !state
                .changes
                .iter()
                .rev()
                .take_while(|change| change.version > after)
                .any(|change| is_news(&change))
        });
        let (state, _) = waited.expect("no thread panics with the lock");
        let first = state
            .changes
            .partition_point(|change| change.version <= after);
        let news = state.changes[first..].iter().filter(is_news);
        let rows =
            news.map(|change| wire_row(&change.location, change.version, change.value.as_deref()));
        let rows: Vec<Value> = rows.collect();
        let answer =
            json!({"rows": rows, "schemaVersion": state.version, "nowMs": clock::now_ms()});
        Reply::Send(200, answer.to_string())
    }

    fn parts(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let table = request.query.get("table").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned();
        let state = self.state.lock().expect("no thread panics with the lock");
        let mut parts: Vec<&str> = Vec::new();
        for (row_table, part, _) in state.rows.keys() {
            let is_new = parts.last().is_none_or(|last| last != part);
            let is_later = after.as_ref().is_none_or(|after| part > after);
            if *row_table == table && is_new && is_later {
                parts.push(part);
            }
        }
        parts.truncate(1_000);
        Reply::Send(200, json!({"parts": parts}).to_string())
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = (word >> (18 - 6 * index)) & 63;
            let is_padding = index > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                char::from(ALPHABET[digit as usize])
            });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|byte| ALPHABET.iter().position(|other| *other == byte));
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for digit in digits {
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
