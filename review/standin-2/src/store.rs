//! The platform's store, as PROTOCOL.md describes it: rows in tables, transactions, feeds.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::http::{self, Handled, Reply, Request};

/// The time in which the store answers.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The largest total of the values in one answer.
const MAX_ANSWER_BYTES: usize = 1_000_000;

/// The reading of the store's clock at its start.
const CLOCK_START_MS: f64 = 5_000_000.0;

type Name = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
    is_removed: bool,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Name, Row>,
    ver: u64,
    /// Who last wrote each row under a condition, and when, in the order of the writes.
    conditional: Vec<(Instant, String, String)>,
    /// The readers that are turned away, with the times of their last calls, by the table.
    turned_away: BTreeMap<String, BTreeMap<String, Instant>>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    /// Serves `reader` on an address of its own, which is returned.
    pub fn serve(self: &Arc<Self>, reader: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (store, reader) = (self.clone(), reader.to_owned());
        // It is served until the program ends.
        let _ = http::serve(
            listener,
            Arc::new(move |request, _| {
                thread::sleep(ANSWER_TIME);
                Handled::Reply(store.answer(&reader, request))
            }),
        );
        address
    }

    /// Writes a row as the operator, a trainer or a server does.
    pub fn write(&self, table: &str, key: &str, value: &Value) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.apply(vec![(name, Some(STANDARD.encode(value.to_string())))]);
    }

    /// Returns who wrote to `table` under a condition, and how long ago, the latest last.
    pub fn conditional_writes(&self, table: &str) -> Vec<(Duration, String)> {
        let state = self.state.lock().expect("not poisoned");
        let writes = state.conditional.iter().filter(|(.., t)| t == table);
        writes
            .map(|(at, by, _)| (at.elapsed(), by.clone()))
            .collect()
    }

    /// Turns `reader` away, or serves it again.
    pub fn turn_away(&self, reader: &str, is_turned_away: bool) {
        let mut state = self.state.lock().expect("not poisoned");
        match is_turned_away {
            true => drop(state.turned_away.insert(reader.to_owned(), BTreeMap::new())),
            false => drop(state.turned_away.remove(reader)),
        }
    }

    /// Returns how long ago `reader` was turned away from each table last.
    pub fn refusal_ages(&self, reader: &str) -> BTreeMap<String, Duration> {
        let state = self.state.lock().expect("not poisoned");
        let calls = state.turned_away.get(reader).cloned().unwrap_or_default();
        calls
            .into_iter()
            .map(|(table, at)| (table, at.elapsed()))
            .collect()
    }

    /// Returns the refusal of a call of `reader`, if it is turned away.
    fn refusal(&self, reader: &str, request: &Request) -> Option<Reply> {
        let mut state = self.state.lock().expect("not poisoned");
        let calls = state.turned_away.get_mut(reader)?;
        calls.insert(request.param("table").to_owned(), Instant::now());
        Some(Reply::json(503, &json!({})))
    }

    fn apply(&self, changes: Vec<(Name, Option<String>)>) {
        let mut state = self.state.lock().expect("not poisoned");
        self.apply_to(&mut state, changes);
    }

    fn apply_to(&self, state: &mut State, changes: Vec<(Name, Option<String>)>) {
        state.ver += 1;
        let ver = state.ver;
        for (name, value) in changes {
            let row = Row {
                is_removed: value.is_none(),
                value: value.unwrap_or_default(),
                ver,
            };
            state.rows.insert(name, row);
        }
        self.changed.notify_all();
    }

    fn now_ms(&self) -> f64 {
        CLOCK_START_MS + self.started.elapsed().as_secs_f64() * 1_000.0
    }

    fn reply(&self, state: &State, status: u16, mut body: Value) -> Reply {
        body["ver"] = json!(state.ver);
        body["now_ms"] = json!(self.now_ms());
        Reply::json(status, &body)
    }

    fn answer(&self, reader: &str, request: &Request) -> Reply {
        if let Some(refusal) = self.refusal(reader, request) {
            return refusal;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.commit(reader, request),
            ("GET", "/-/rows-get") => self.get(request),
            ("GET", "/-/rows-parts") => self.parts(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            _ => Reply::json(404, &json!({})),
        }
    }

    fn commit(&self, reader: &str, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let name = |entry: &Value| -> Name {
            let text = |field: &str| entry[field].as_str().unwrap_or("").to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (expected, puts, removals) = (list("expected"), list("put"), list("remove"));
        let names: Vec<Name> = [&expected, &puts, &removals]
            .into_iter()
            .flatten()
            .map(name)
            .collect();
        let parts: BTreeSet<&String> = names.iter().map(|(_, part, _)| part).collect();
        let is_read_only = puts.iter().chain(&removals).any(|entry| {
            let (table, ..) = name(entry);
            table == "op" || table == "servers"
        });
        let mut state = self.state.lock().expect("not poisoned");
        if is_read_only {
            return self.reply(&state, 403, json!({}));
        }
        if parts.len() > 1 || names.len() > 100 {
            return self.reply(&state, 400, json!({}));
        }
        let current = |name: &Name| state.rows.get(name).filter(|row| !row.is_removed);
        let is_met = expected.iter().all(|entry| {
            current(&name(entry)).map_or(0, |row| row.ver) == entry["ver"].as_u64().unwrap_or(0)
        });
        if !is_met {
            let rows: Vec<Value> = expected
                .iter()
                .filter_map(|entry| {
                    let name = name(entry);
                    Some(document(&name, current(&name)?))
                })
                .collect();
            return self.reply(&state, 412, json!({"rows": rows}));
        }
        let mut changes: Vec<(Name, Option<String>)> = Vec::new();
        for entry in &puts {
            let value = entry["value"].as_str().unwrap_or("").to_owned();
            changes.push((name(entry), Some(value)));
        }
        changes.extend(removals.iter().map(|entry| (name(entry), None)));
        for entry in expected.iter().filter(|_| !puts.is_empty()) {
            let (table, ..) = name(entry);
            let write = (Instant::now(), reader.to_owned(), table);
            state.conditional.push(write);
        }
        self.apply_to(&mut state, changes);
        self.reply(&state, 200, json!({}))
    }

    fn get(&self, request: &Request) -> Reply {
        let (table, part) = (request.param("table"), request.param("part"));
        let (from, to) = (request.param("from"), request.param("to"));
        let limit = request
            .param("limit")
            .parse()
            .unwrap_or(500_usize)
            .clamp(1, 500);
        let state = self.state.lock().expect("not poisoned");
        let mut rows: Vec<Value> = state
            .rows
            .iter()
            .filter(|((t, p, key), row)| {
                t == table
                    && p == part
                    && !row.is_removed
                    && key.as_str() >= from
                    && (to.is_empty() || key.as_str() < to)
            })
            .take(limit + 1)
            .map(|(name, row)| document(name, row))
            .collect();
        let mut size = 0;
        let fitting = rows.iter().take(limit).take_while(|row| {
            size += row["value"].as_str().map_or(0, str::len);
            size <= MAX_ANSWER_BYTES
        });
        let count = fitting.count().max(1).min(rows.len());
        let has_more = rows.len() > count;
        rows.truncate(count);
        self.reply(&state, 200, json!({"rows": rows, "has_more": has_more}))
    }

    fn parts(&self, request: &Request) -> Reply {
        let (table, after) = (request.param("table"), request.param("after"));
        let state = self.state.lock().expect("not poisoned");
        let parts: BTreeSet<&str> = state
            .rows
            .iter()
            .filter(|((t, part, _), row)| t == table && !row.is_removed && part.as_str() > after)
            .map(|((_, part, _), _)| part.as_str())
            .take(1_000)
            .collect();
        let body = json!({"parts": parts});
        self.reply(&state, 200, body)
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.param("table");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.param("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.state.lock().expect("not poisoned");
        loop {
            let mut rows: Vec<(u64, Value)> = state
                .rows
                .iter()
                .filter(|((t, ..), row)| t == table && row.ver > after)
                .map(|(name, row)| (row.ver, document(name, row)))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(ver, _)| *ver);
                let rows: Vec<Value> = rows.into_iter().map(|(_, row)| row).collect();
                return self.reply(&state, 200, json!({"rows": rows}));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("not poisoned")
                .0;
        }
    }
}

fn document((table, part, key): &Name, row: &Row) -> Value {
    json!({"table": table, "part": part, "key": key, "ver": row.ver, "value": row.value,
        "deleted": row.is_removed})
}
