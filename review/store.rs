//! A stand-in of the platform's store: rows with versions, transactions and a feed of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, listen, serve};
use crate::json::{Json, quoted};

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// The version and the data, in base64, of each row; `None` for a removed one.
    rows: BTreeMap<RowKey, (u64, Option<String>)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let (listener, address) = listen();
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let store = Self { address, shared };
        let serving = store.clone();
        serve(listener, move |connection| serving.serve(connection));
        store
    }

    /// Writes a row with an empty part.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_in(table, "", key, value);
    }

    pub fn put_in(&self, table: &str, part: &str, key: &str, value: &str) {
        let data = Some(base64(value.as_bytes()));
        self.write((table.to_owned(), part.to_owned(), key.to_owned()), data);
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write((table.to_owned(), String::new(), key.to_owned()), None);
    }

    fn write(&self, key: RowKey, data: Option<String>) {
        let mut state = self.shared.state.lock().expect("a lock");
        state.version += 1;
        let version = state.version;
        state.rows.insert(key, (version, data));
        self.shared.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(call)) = connection.read() {
            std::thread::sleep(Duration::from_millis(2));
            let (status, body) = self.answer(&call);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let query: BTreeMap<String, String> = fields
            .map(|(name, value)| (name.to_owned(), decoded(value)))
            .collect();
        match path {
            "/borageladder/rows-get" => (200, self.get(&query)),
            "/borageladder/rows-feed" => (200, self.feed(&query)),
            "/borageladder/rows-tx" => self.commit(&call.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn clock(&self) -> u128 {
        self.shared.began.elapsed().as_millis()
    }

    fn get(&self, query: &BTreeMap<String, String>) -> String {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, start) = (text("table_name"), text("part"), text("start_key"));
        let size = text("page_size").parse().unwrap_or(500).min(500);
        let state = self.shared.state.lock().expect("a lock");
        let rows = state.rows.iter().filter(|((of, within, key), (_, data))| {
            *of == table && *within == part && *key >= start && data.is_some()
        });
        let rows: Vec<String> = rows.map(row).collect();
        let page = &rows[..rows.len().min(size)];
        format!(
            "{{\"rows\":[{}],\"has_more\":{},\"row_version\":{},\"server_time_ms\":{}}}",
            page.join(","),
            page.len() < rows.len(),
            state.version,
            self.clock()
        )
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> String {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let table = text("table_name");
        let since: u64 = text("since_revision").parse().unwrap_or(0);
        let wait = text("wait_ms").parse().unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.state.lock().expect("a lock");
        loop {
            let rows = state.rows.iter();
            let changed =
                rows.filter(|((of, _, _), (version, _))| *of == table && *version > since);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, (version, _))| *version);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<String> = changed.into_iter().map(row).collect();
                return format!(
                    "{{\"rows\":[{}],\"row_version\":{},\"server_time_ms\":{}}}",
                    rows.join(","),
                    state.version,
                    self.clock()
                );
            }
            state = self
                .shared
                .changed
                .wait_timeout(state, left)
                .expect("a lock")
                .0;
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |entry: &Json| -> RowKey {
            let text = |name: &str| entry.field(name).text().to_owned();
            (text("table_name"), text("part"), text("key"))
        };
        let mut state = self.shared.state.lock().expect("a lock");
        let version_of = |state: &State, key: &RowKey| {
            let row = state.rows.get(key).filter(|(_, data)| data.is_some());
            row.map_or(0, |(version, _)| *version)
        };
        let checks = call.field("precondition").list();
        let holds =
            |check: &Json| version_of(&state, &key(check)) == check.field("row_version").number();
        if !checks.iter().all(holds) {
            let present = checks
                .iter()
                .filter_map(|check| state.rows.get_key_value(&key(check)));
            let present = present.filter(|(_, (_, data))| data.is_some());
            let rows: Vec<String> = present.map(row).collect();
            return (412, format!("{{\"rows\":[{}]}}", rows.join(",")));
        }
        let written = call.field("write").list().iter();
        let written =
            written.map(|entry| (key(entry), Some(entry.field("data").text().to_owned())));
        let removed = call
            .field("remove")
            .list()
            .iter()
            .map(|entry| (key(entry), None));
        let changes: Vec<_> = written.chain(removed).collect();
        if changes
            .iter()
            .any(|((table, _, _), _)| table == "op" || table == "servers")
        {
            return (403, "{}".to_owned());
        }
        state.version += 1;
        let version = state.version;
        for (key, data) in changes {
            state.rows.insert(key, (version, data));
        }
        self.shared.changed.notify_all();
        let clock = self.clock();
        (
            200,
            format!("{{\"row_version\":{version},\"server_time_ms\":{clock}}}"),
        )
    }
}

fn row(((table, part, key), (version, data)): (&RowKey, &(u64, Option<String>))) -> String {
    format!(
        "{{\"table_name\":{},\"part\":{},\"key\":{},\"row_version\":{version},\"data\":{},\
         \"deleted\":{}}}",
        quoted(table),
        quoted(part),
        quoted(key),
        quoted(data.as_deref().unwrap_or("")),
        data.is_none()
    )
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit > group.len() {
                out.push('=');
            } else {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            }
        }
    }
    out
}
