//! The simulated platform: an in-memory table and object store, and the host list.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Bound;
use std::rc::Rc;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use borageladder_kernel::table::RowCheck;
use borageladder_kernel::table::RowConflict;
use borageladder_kernel::table::RowPage;
use borageladder_kernel::table::RowRevision;
use borageladder_kernel::table::TableRow;
use borageladder_kernel::table::TableTransaction;
use borageladder_kernel::table::TransactReceipt;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;

use crate::hosts::HostListing;
use crate::server;
use crate::server::CallHandler;
use crate::server::ServerState;
use crate::server::ServiceCall;
use crate::server::empty_answer;
use crate::server::json_answer;
use crate::server::text_answer;

/// The upper limit of the rows in one page.
const MAX_PAGE_ROWS: usize = 1000;

/// An in-memory table with optimistic concurrency control by row revisions.
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<String, TableRow>,
    revision: u64,
}

impl MemoryTable {
    /// Returns the row with the key; `None` if there is none.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&TableRow> {
        self.rows.get(key)
    }

    /// Returns at most `limit` rows in key order whose keys start with `prefix` and follow `after`.
    #[must_use]
    pub fn rows(&self, prefix: &str, after: &str, limit: usize) -> RowPage {
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        let rows = self
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect();
        RowPage { rows }
    }

    /// Applies a transaction if all of its checks hold.
    ///
    /// # Errors
    ///
    /// Returns the key of the first failed check and its current row; nothing is applied then.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::table::RowCheck;
    /// use borageladder_kernel::table::TableTransaction;
    /// use borageladder_standin::platform::MemoryTable;
    ///
    /// let mut table = MemoryTable::default();
    /// let mut insert = TableTransaction::default();
    /// insert.checks.push(RowCheck { key: "a".to_owned(), revision: None });
    /// assert!(table.transact(insert).is_ok());
    /// ```
    pub fn transact(
        &mut self,
        transaction: TableTransaction,
    ) -> Result<TransactReceipt, RowConflict> {
        if let Some(check) = transaction.checks.iter().find(|check| !self.holds(check)) {
            let row = self.rows.get(&check.key).cloned();
            let key = check.key.clone();
            return Err(RowConflict { key, row });
        }
        self.revision += 1;
        let revision = RowRevision(self.revision);
        for write in transaction.writes {
            let row = TableRow {
                key: write.key,
                value: write.value,
                revision,
            };
            self.rows.insert(row.key.clone(), row);
        }
        for key in transaction.deletes {
            self.rows.remove(&key);
        }
        Ok(TransactReceipt { revision })
    }

    fn holds(&self, check: &RowCheck) -> bool {
        self.rows.get(&check.key).map(|row| row.revision) == check.revision
    }
}

/// The HTTP service of the simulated platform.
#[derive(Debug, Default)]
pub struct PlatformService {
    state: Rc<ServerState>,
    table: RefCell<MemoryTable>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    hosts: HostListing,
}

#[derive(Deserialize)]
struct RowQuery {
    key: String,
}

#[derive(Deserialize)]
struct RowsQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

impl PlatformService {
    /// Serves an empty platform with the host list on the current thread and returns its bound
    /// address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, hosts: HostListing) -> io::Result<SocketAddr> {
        let service = Rc::new(Self {
            hosts,
            ..Self::default()
        });
        server::start(address, Rc::clone(&service.state), service)
    }

    fn route(&self, call: &ServiceCall) -> Response<BoxBody> {
        let path = call.path.as_str();
        if let Some(key) = path.strip_prefix("/objects/") {
            return self.object(call, key);
        }
        match (call.method.as_str(), path) {
            ("GET", "/table/row") => self.row(call),
            ("GET", "/table/rows") => self.rows(call),
            ("POST", "/table/transact") => self.transact(call),
            ("GET", "/hosts") => self.hosts.answer(&self.state.faults),
            _ => text_answer(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn row(&self, call: &ServiceCall) -> Response<BoxBody> {
        let Some(query) = call.parse_query::<RowQuery>() else {
            return text_answer(StatusCode::BAD_REQUEST, "the query must hold a key");
        };
        match self.table.borrow().row(&query.key) {
            Some(row) => json_answer(StatusCode::OK, row),
            None => text_answer(StatusCode::NOT_FOUND, "no such row"),
        }
    }

    fn rows(&self, call: &ServiceCall) -> Response<BoxBody> {
        let Some(query) = call.parse_query::<RowsQuery>() else {
            return text_answer(StatusCode::BAD_REQUEST, "the query is not valid");
        };
        let limit = query.limit.unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let table = self.table.borrow();
        json_answer(
            StatusCode::OK,
            &table.rows(&query.prefix, &query.after, limit),
        )
    }

    fn transact(&self, call: &ServiceCall) -> Response<BoxBody> {
        let transaction = match serde_json::from_slice(&call.body) {
            Ok(transaction) => transaction,
            Err(error) => return text_answer(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let outcome = self.table.borrow_mut().transact(transaction);
        self.reset_if_answer_lost(call);
        match outcome {
            Ok(receipt) => json_answer(StatusCode::OK, &receipt),
            Err(conflict) => json_answer(StatusCode::CONFLICT, &conflict),
        }
    }

    fn object(&self, call: &ServiceCall, key: &str) -> Response<BoxBody> {
        if self.state.faults.is_object_store_down() {
            call.connection.reset();
            return empty_answer();
        }
        let mut objects = self.objects.borrow_mut();
        match call.method.as_str() {
            "GET" => match objects.get(key) {
                Some(bytes) => Response::build(StatusCode::OK)
                    .body(bytes.clone())
                    .map_into_boxed_body(),
                None => text_answer(StatusCode::NOT_FOUND, "no such object"),
            },
            "PUT" => {
                objects.insert(key.to_owned(), call.body.clone());
                self.reset_if_answer_lost(call);
                empty_answer()
            }
            "DELETE" => {
                objects.remove(key);
                self.reset_if_answer_lost(call);
                empty_answer()
            }
            _ => text_answer(StatusCode::METHOD_NOT_ALLOWED, "no such method"),
        }
    }

    fn reset_if_answer_lost(&self, call: &ServiceCall) {
        if self.state.faults.take_lost_answer() {
            call.connection.reset();
        }
    }
}

impl CallHandler for PlatformService {
    fn answer(self: Rc<Self>, call: ServiceCall) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move { self.route(&call) })
    }

    fn faults_changed(&self) {
        self.hosts.record_leaving(&self.state.faults);
    }
}
