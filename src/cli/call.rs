//! HTTP client for the operator interface of a host.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use awc::Client;
use thiserror::Error;

use crate::cli::CliArguments;
use crate::cli::CliStatus;
use crate::language::answer::CommandAnswer;

/// The timeout for the answer to a script; a change waits for confirmation from other regions.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The reason why a call to a host failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No token file was given.
    #[error("no token; give --token-file or set BORAGELADDER_TOKEN_FILE")]
    NoToken,
    /// The key or token file is empty.
    #[error("the key or token file {} is empty", file.display())]
    EmptyToken {
        /// The file.
        file: PathBuf,
    },
    /// The key or token file can't be read.
    #[error("can't read the key or token file {}: {source}", file.display())]
    Token {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The host can't be reached or did not answer in time, or its answer is incomplete or too large.
    #[error(
        "host {host} did not answer: {reason}; run `show changes` to see whether a change was made"
    )]
    Unreachable {
        /// The host.
        host: SocketAddr,
        /// The error of the HTTP client.
        reason: String,
    },
    /// The body of the response is not a [`CommandAnswer`].
    #[error("host {host} answered with status {status}, but not with a command answer: {reason}")]
    Answer {
        /// The host.
        host: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The reason why the body can't be parsed.
        reason: String,
    },
}

impl CallError {
    /// Returns the exit code for this error.
    pub fn status(&self) -> CliStatus {
        match self {
            Self::EmptyToken { .. } | Self::NoToken | Self::Token { .. } => CliStatus::Usage,
            Self::Unreachable { .. } => CliStatus::Unreachable,
            Self::Answer { .. } => CliStatus::Failed,
        }
    }
}

/// A client of the operator interface of one host.
#[derive(Debug)]
pub struct CommandClient {
    host: SocketAddr,
    authorization: String,
}

impl TryFrom<&CliArguments> for CommandClient {
    type Error = CallError;

    fn try_from(arguments: &CliArguments) -> Result<Self, CallError> {
        let file = arguments.token_file.as_ref().ok_or(CallError::NoToken)?;
        let token = read_secret(file)?;
        Ok(Self {
            host: arguments.host,
            authorization: format!("Bearer {token}"),
        })
    }
}

/// Reads a key or token from a file and trims surrounding white space.
pub fn read_secret(file: &Path) -> Result<String, CallError> {
    let secret = fs::read_to_string(file).map_err(|source| CallError::Token {
        file: file.to_owned(),
        source,
    })?;
    let secret = secret.trim();
    if secret.is_empty() {
        return Err(CallError::EmptyToken {
            file: file.to_owned(),
        });
    }
    Ok(secret.to_owned())
}

impl CommandClient {
    /// Sends a script and waits for its answer.
    ///
    /// The script is never resent, because it may contain changes.
    pub async fn send(&self, script: &str) -> Result<CommandAnswer, CallError> {
        let client = Client::builder()
            .timeout(ANSWER_TIMEOUT)
            .disable_redirects()
            .finish();
        let unreachable = |reason: String| CallError::Unreachable {
            host: self.host,
            reason,
        };
        let request = client
            .post(format!("http://{}/operator/command", self.host))
            .insert_header(("authorization", self.authorization.as_str()))
            .insert_header(("content-type", "text/plain; charset=utf-8"));
        let sent = request.send_body(script.to_owned()).await;
        let mut response = sent.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        serde_json::from_slice(&body).map_err(|error| CallError::Answer {
            host: self.host,
            status,
            reason: error.to_string(),
        })
    }
}
