//! A stand-in for the platform's store.

use std::{
    borrow::Cow,
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Method, Request};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{NoAnswer, json_reply, serve};
use crate::{ingress::replies::Reply, platform::names};

/// The latency of an answer, from the deployment specification.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The latency of an answer while the store is slow, as `platform_slow` in the
/// deployment specification.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(240);

/// The delay after which a write is applied whose caller received no answer.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(1_200);

/// The maximum number of rows in one answer.
const MAX_ROWS_COUNT: usize = 500;

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreFault {
    /// The store works correctly.
    #[default]
    None,
    /// The store refuses all calls.
    Down,
    /// The store answers slowly.
    Slow,
    /// The store applies writes but closes the connection instead of answering.
    LosesAnswers,
    /// The store closes the connection and applies writes later.
    Late,
}

/// The table, partition and key of a row.
type RowKey = (String, String, String);

/// A row and its new value, or `None` to remove the row.
type Change<'a> = ((&'a str, &'a str, &'a str), Option<String>);

#[derive(Clone, Debug)]
struct Row {
    value: String,
    ver: u64,
    is_removed: bool,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, Row>,
    ver: u64,
    /// The oldest version from which a feed can continue.
    oldest: u64,
}

/// The stand-in for the store. Clones share its state.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Rc<Shared>,
    /// The address that all upstreams seem to have, if their readers are cut off from them.
    cut_address: Rc<Cell<Option<SocketAddr>>>,
}

#[derive(Debug)]
struct Shared {
    state: RefCell<State>,
    fault: Cell<StoreFault>,
    changed: Notify,
    started: Instant,
}

impl Store {
    /// Serves an empty store on `listener`.
    pub fn start(listener: TcpListener) -> Self {
        let store = Self {
            shared: Rc::new(Shared {
                state: RefCell::default(),
                fault: Cell::default(),
                changed: Notify::new(),
                started: Instant::now(),
            }),
            cut_address: Rc::default(),
        };
        store.serve(listener);
        store
    }

    /// Serves the same rows on `listener` to readers that can be cut off from upstreams
    /// apart from others.
    pub fn serve_apart(&self, listener: TcpListener) -> Self {
        let apart = Self {
            shared: self.shared.clone(),
            cut_address: Rc::default(),
        };
        apart.serve(listener);
        apart
    }

    fn serve(&self, listener: TcpListener) {
        let served = self.clone();
        serve(listener, move |request| served.clone().answer(request));
    }

    /// Makes all upstreams seem to have `address` to the readers of this store, or heals
    /// that. They learn it at once.
    pub fn cut_upstreams(&self, address: Option<SocketAddr>) {
        self.cut_address.set(address);
        let entries: Vec<(String, String)> = self
            .shared
            .state
            .borrow()
            .rows
            .iter()
            .filter(|((table, ..), row)| table == names::UPSTREAM_TABLE && !row.is_removed)
            .map(|((.., key), row)| (key.clone(), row.value.clone()))
            .collect();
        let changes: Vec<Change<'_>> = entries
            .iter()
            .map(|(key, value)| ((names::UPSTREAM_TABLE, "", &**key), Some(value.clone())))
            .collect();
        self.apply(&changes);
    }

    /// Returns the value of a row as the readers of this store see it.
    fn visible_value(&self, table: &str, value: &str) -> String {
        let entry = self
            .cut_address
            .get()
            .filter(|_| table == names::UPSTREAM_TABLE)
            .and_then(|address| {
                let mut entry: Value =
                    serde_json::from_slice(&STANDARD.decode(value).ok()?).ok()?;
                entry["address"] = json!(address.to_string());
                Some(entry)
            });
        match entry {
            Some(entry) => STANDARD.encode(entry.to_string()),
            None => value.to_owned(),
        }
    }

    /// Sets or clears the fault of the store.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.fault.set(fault);
    }

    /// Drops the history, so that followers of a feed must read the table again.
    pub fn forget_history(&self) {
        let mut state = self.shared.state.borrow_mut();
        state.oldest = state.ver;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Writes a row as the operator or an upstream does. Faults of the store do not
    /// affect such writes.
    pub fn write(&self, table: &str, key: &str, value: &Value) {
        self.write_text(table, key, &value.to_string());
    }

    /// Writes a row with any text, as another writer may.
    pub fn write_text(&self, table: &str, key: &str, text: &str) {
        let value = STANDARD.encode(text);
        self.apply(&[((table, "", key), Some(value))]);
    }

    /// Removes a row as the platform does, unaffected by faults of the store.
    pub fn remove(&self, table: &str, key: &str) {
        self.apply(&[((table, "", key), None)]);
    }

    fn apply(&self, changes: &[Change<'_>]) -> u64 {
        let mut state = self.shared.state.borrow_mut();
        state.ver += 1;
        let ver = state.ver;
        for ((table, part, key), value) in changes {
            let name = ((*table).to_owned(), (*part).to_owned(), (*key).to_owned());
            let row = Row {
                value: value.clone().unwrap_or_default(),
                ver,
                is_removed: value.is_none(),
            };
            state.rows.insert(name, row);
        }
        drop(state);
        self.shared.changed.notify_waiters();
        ver
    }

    async fn answer(self, request: Request<Bytes>) -> Result<Reply, NoAnswer> {
        let fault = self.shared.fault.get();
        sleep(if fault == StoreFault::Slow {
            SLOW_ANSWER_TIME
        } else {
            ANSWER_TIME
        })
        .await;
        if fault == StoreFault::Down {
            return Ok(json_reply(503, &json!({})));
        }
        if request.method() == Method::POST {
            let body: Value = serde_json::from_slice(request.body()).map_err(|_| NoAnswer)?;
            return match fault {
                StoreFault::LosesAnswers => {
                    self.commit(&body);
                    Err(NoAnswer)
                }
                StoreFault::Late => {
                    spawn_local(async move {
                        sleep(LATE_WRITE_DELAY).await;
                        self.commit(&body);
                    });
                    Err(NoAnswer)
                }
                _ => Ok(self.commit(&body)),
            };
        }
        let query: BTreeMap<&str, Cow<'_, str>> = request
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decode_str(value).decode_utf8_lossy()))
            .collect();
        let text = |name: &str| query.get(name).map_or("", |value| value);
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let reply = match request.uri().path() {
            "/-/rows-get" => self.read(
                text("table"),
                text("part"),
                text("from"),
                text("to"),
                number("limit") as usize,
            ),
            "/-/rows-parts" => self.parts(text("table"), text("after")),
            "/-/rows-feed" => {
                let wait = Duration::from_millis(number("wait_ms"));
                self.feed(text("table"), number("after"), wait).await
            }
            _ => json_reply(404, &json!({})),
        };
        match fault {
            StoreFault::LosesAnswers => Err(NoAnswer),
            _ => Ok(reply),
        }
    }

    fn reply(&self, status: u16, mut body: Value) -> Reply {
        body["ver"] = json!(self.shared.state.borrow().ver);
        body["now_ms"] = json!(self.shared.started.elapsed().as_secs_f64() * 1_000.0);
        json_reply(status, &body)
    }

    fn commit(&self, body: &Value) -> Reply {
        let name = |entry: &Value| {
            let text = |field: &str| entry[field].as_str().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let expected: Vec<(RowKey, u64)> = list("expected")
            .iter()
            .map(|entry| (name(entry), entry["ver"].as_u64().unwrap_or(0)))
            .collect();
        let puts: Vec<(RowKey, String)> = list("put")
            .iter()
            .map(|entry| {
                let value = entry["value"].as_str().unwrap_or_default();
                (name(entry), value.to_owned())
            })
            .collect();
        let removals: Vec<RowKey> = list("remove").iter().map(name).collect();
        let is_read_only =
            |(table, ..): &RowKey| table == names::OPERATOR_TABLE || table == names::UPSTREAM_TABLE;
        if puts.iter().any(|(name, _)| is_read_only(name)) || removals.iter().any(is_read_only) {
            return self.reply(403, json!({}));
        }
        let mut parts: BTreeSet<&str> = expected.iter().map(|((_, part, _), _)| &**part).collect();
        parts.extend(puts.iter().map(|((_, part, _), _)| &**part));
        parts.extend(removals.iter().map(|(_, part, _)| &**part));
        if parts.len() > 1 {
            return self.reply(400, json!({}));
        }
        let state = self.shared.state.borrow();
        let current = |name: &RowKey| state.rows.get(name).filter(|row| !row.is_removed);
        let is_met = expected
            .iter()
            .all(|(name, ver)| current(name).map_or(0, |row| row.ver) == *ver);
        if !is_met {
            let rows: Vec<Value> = expected
                .iter()
                .filter_map(|(name, _)| Some(self.row_document(name, current(name)?)))
                .collect();
            drop(state);
            return self.reply(412, json!({"rows": rows}));
        }
        drop(state);
        let mut changes: Vec<Change<'_>> = Vec::new();
        for ((table, part, key), value) in &puts {
            changes.push(((table, part, key), Some(value.clone())));
        }
        for (table, part, key) in &removals {
            changes.push(((table, part, key), None));
        }
        self.apply(&changes);
        self.reply(200, json!({}))
    }

    fn read(&self, table: &str, part: &str, from: &str, to: &str, limit: usize) -> Reply {
        let limit = limit.clamp(1, MAX_ROWS_COUNT);
        let state = self.shared.state.borrow();
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
            .map(|(name, row)| self.row_document(name, row))
            .collect();
        drop(state);
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        self.reply(200, json!({"rows": rows, "has_more": has_more}))
    }

    fn parts(&self, table: &str, after: &str) -> Reply {
        let state = self.shared.state.borrow();
        let parts: BTreeSet<&str> = state
            .rows
            .iter()
            .filter(|((t, part, _), row)| t == table && !row.is_removed && &**part > after)
            .map(|((_, part, _), _)| &**part)
            .collect();
        let body = json!({"parts": parts});
        drop(state);
        self.reply(200, body)
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> Reply {
        let end = Instant::now() + wait;
        loop {
            let changed = self.shared.changed.notified();
            if after < self.shared.state.borrow().oldest {
                return self.reply(410, json!({}));
            }
            let mut rows: Vec<(u64, Value)> = self
                .shared
                .state
                .borrow()
                .rows
                .iter()
                .filter(|((t, ..), row)| t == table && row.ver > after)
                .map(|(name, row)| (row.ver, self.row_document(name, row)))
                .collect();
            let remaining = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || remaining.is_zero() {
                rows.sort_by_key(|(ver, _)| *ver);
                let rows: Vec<Value> = rows.into_iter().map(|(_, row)| row).collect();
                return self.reply(200, json!({"rows": rows}));
            }
            // The loop checks above whether the wait has elapsed.
            let _ = timeout(remaining, changed).await;
        }
    }

    fn row_document(&self, (table, part, key): &RowKey, row: &Row) -> Value {
        json!({
            "part": part, "key": key, "ver": row.ver,
            "value": self.visible_value(table, &row.value), "deleted": row.is_removed,
        })
    }
}
