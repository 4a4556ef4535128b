//! A client of the platform's table, object store and host list.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::error::ParseError;
use awc::Client;
use awc::ClientRequest;
use awc::ClientResponse;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::PayloadError;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header::CONTENT_LENGTH;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::kernel::table::HostList;
use crate::kernel::table::RowConflict;
use crate::kernel::table::RowPage;
use crate::kernel::table::RowRevision;
use crate::kernel::table::TableRow;
use crate::kernel::table::TableTransaction;
use crate::kernel::table::TransactReceipt;

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The timeouts of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformTimeouts {
    /// The timeout for opening a connection.
    pub connect: Duration,
    /// The timeout of the complete call, including its connection.
    pub call: Duration,
}

impl Default for PlatformTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
        }
    }
}

/// The reason why a call to the platform returned no usable answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// No request could be sent, so nothing was written.
    #[error("the platform can't be reached: {reason}")]
    Unreachable {
        /// The cause of the connection failure.
        reason: String,
    },
    /// The answer was late, lost or a server error, so the call may have written rows.
    #[error("the platform's answer was lost: {reason}")]
    Unknown {
        /// The cause of the loss.
        reason: String,
    },
    /// The answer violates the protocol, or the call can't be encoded.
    #[error("the platform's answer can't be used: {reason}")]
    Protocol {
        /// The violation.
        reason: String,
    },
}

impl From<SendRequestError> for PlatformError {
    fn from(error: SendRequestError) -> Self {
        let reason = error.to_string();
        match error {
            // Both also occur when the peer closes the connection after reading the request.
            SendRequestError::Connect(ConnectError::Disconnected)
            | SendRequestError::Response(ParseError::Io(_)) => Self::Unknown { reason },
            SendRequestError::Connect(_) | SendRequestError::Url(_) => Self::Unreachable { reason },
            SendRequestError::Response(_) => Self::Protocol { reason },
            _ => Self::Unknown { reason },
        }
    }
}

impl From<PayloadError> for PlatformError {
    fn from(error: PayloadError) -> Self {
        Self::Unknown {
            reason: error.to_string(),
        }
    }
}

impl From<serde_json::Error> for PlatformError {
    fn from(error: serde_json::Error) -> Self {
        Self::Protocol {
            reason: error.to_string(),
        }
    }
}

/// The outcome of a transaction that the platform answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactOutcome {
    /// The transaction was committed.
    Committed {
        /// The revision of the rows that it wrote.
        revision: RowRevision,
    },
    /// A check failed, and nothing was written.
    Conflict {
        /// The key of the first check that failed.
        key: String,
        /// The current row; `None` if it is absent.
        row: Option<TableRow>,
    },
}

/// A client of the platform; every call ends within its timeout.
///
/// # Examples
///
/// ```
/// use borageladder::platform::PlatformClient;
/// use borageladder::platform::PlatformTimeouts;
///
/// let address = "127.0.0.1:7000".parse()?;
/// let client = PlatformClient::new(address, PlatformTimeouts::default());
/// assert_eq!(client.address(), address);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    timeouts: PlatformTimeouts,
    client: Client,
}

impl std::fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformClient")
            .field("address", &self.address)
            .field("timeouts", &self.timeouts)
            .finish_non_exhaustive()
    }
}

#[derive(Serialize)]
struct RowQuery<'a> {
    key: &'a str,
}

#[derive(Serialize)]
struct RowsQuery<'a> {
    prefix: &'a str,
    after: &'a str,
    limit: usize,
}

struct PlatformAnswer {
    status: StatusCode,
    body: Bytes,
}

impl PlatformClient {
    /// Creates a client; no connection is opened yet.
    #[must_use]
    pub fn new(address: SocketAddr, timeouts: PlatformTimeouts) -> Self {
        let connector = Connector::new().timeout(timeouts.connect);
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self {
            address,
            timeouts,
            client,
        }
    }

    /// Returns the address of the platform.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a row; `None` means that it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or returns no usable answer.
    pub async fn row(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        let request = self.client.get(self.url("/table/row"));
        let request = with_query(request, &RowQuery { key })?;
        let answer = self.call(request, Bytes::new()).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        answer.json(StatusCode::OK).map(Some)
    }

    /// Reads at most `limit` rows whose keys start with the prefix and come after the key `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or returns no usable answer.
    pub async fn rows(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let query = RowsQuery {
            prefix,
            after,
            limit,
        };
        let request = self.client.get(self.url("/table/rows"));
        let request = with_query(request, &query)?;
        let answer = self.call(request, Bytes::new()).await?;
        let page: RowPage = answer.json(StatusCode::OK)?;
        Ok(page.rows)
    }

    /// Commits a transaction, all or nothing.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unreachable`] only if the transaction was certainly not committed;
    /// after any other error it may have been.
    pub async fn transact(
        &self,
        transaction: &TableTransaction,
    ) -> Result<TransactOutcome, PlatformError> {
        let request = self.client.post(self.url("/table/transact"));
        let body = serde_json::to_vec(transaction)?;
        let answer = self.call(request, body.into()).await?;
        if answer.status == StatusCode::CONFLICT {
            let RowConflict { key, row } = answer.json(StatusCode::CONFLICT)?;
            return Ok(TransactOutcome::Conflict { key, row });
        }
        let TransactReceipt { revision } = answer.json(StatusCode::OK)?;
        Ok(TransactOutcome::Committed { revision })
    }

    /// Stores an object; an existing object under the key is replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not confirm that it stored the object.
    pub async fn put_object(&self, key: &str, bytes: Bytes) -> Result<(), PlatformError> {
        let request = self.client.put(self.object_url(key));
        let answer = self.call(request, bytes).await?;
        answer.check(answer.status.is_success())
    }

    /// Reads an object; `None` means that it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or returns no usable answer.
    pub async fn object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let request = self.client.get(self.object_url(key));
        let answer = self.call(request, Bytes::new()).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        answer.check(answer.status == StatusCode::OK)?;
        Ok(Some(answer.body))
    }

    /// Reads the host list, which names the machines on which workers run.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or returns no usable answer.
    pub async fn hosts(&self) -> Result<HostList, PlatformError> {
        let request = self.client.get(self.url("/hosts"));
        let answer = self.call(request, Bytes::new()).await?;
        answer.json(StatusCode::OK)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn object_url(&self, key: &str) -> String {
        self.url(&format!("/objects/{key}"))
    }

    async fn call(
        &self,
        request: ClientRequest,
        body: Bytes,
    ) -> Result<PlatformAnswer, PlatformError> {
        let exchange = exchange(request, body);
        match actix_rt::time::timeout(self.timeouts.call, exchange).await {
            Ok(answer) => answer,
            Err(elapsed) => Err(PlatformError::Unknown {
                reason: elapsed.to_string(),
            }),
        }
    }
}

impl PlatformAnswer {
    fn check(&self, is_expected: bool) -> Result<(), PlatformError> {
        if is_expected {
            return Ok(());
        }
        let reason = format!("status {}", self.status);
        // A server error can come from a proxy that lost the answer after the table committed a
        // write.
        if self.status.is_server_error() {
            return Err(PlatformError::Unknown { reason });
        }
        Err(PlatformError::Protocol { reason })
    }

    fn json<T: DeserializeOwned>(&self, status: StatusCode) -> Result<T, PlatformError> {
        self.check(self.status == status)?;
        Ok(serde_json::from_slice(&self.body)?)
    }
}

async fn exchange(request: ClientRequest, body: Bytes) -> Result<PlatformAnswer, PlatformError> {
    let mut response = request.send_body(body).await?;
    let status = response.status();
    let length = content_length(&response);
    let body = response.body().limit(MAX_ANSWER_BYTES).await?;
    if length.is_some_and(|length| length != body.len()) {
        return Err(PlatformError::Unknown {
            reason: "the answer was truncated".to_owned(),
        });
    }
    Ok(PlatformAnswer { status, body })
}

fn content_length<S>(response: &ClientResponse<S>) -> Option<usize> {
    let length = response.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

fn with_query<T: Serialize>(
    request: ClientRequest,
    query: &T,
) -> Result<ClientRequest, PlatformError> {
    request
        .query(query)
        .map_err(|error| PlatformError::Protocol {
            reason: error.to_string(),
        })
}
