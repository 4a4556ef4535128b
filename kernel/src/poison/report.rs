//! What hosts tell each other of crashes under parts of prompts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::name::WorkerName;
use crate::name::WorkspaceName;
use crate::prompt::PartDigest;

/// A request whose answer was lost in the crash of its worker.
#[derive(Clone, Copy, Debug)]
pub struct CrashedRequest<'a> {
    /// The worker.
    pub worker: &'a WorkerName,
    /// The workspace of the caller; `None` if the request belongs to none.
    pub workspace: Option<&'a WorkspaceName>,
    /// The parts of the prompt that other requests may share, and the content as one more.
    pub parts: &'a [PartDigest],
    /// The parts that had a crash on record when the request was sent.
    pub suspected: &'a [PartDigest],
    /// Whether it is certain that the worker ended, and not the host's path to it.
    pub confirmed: bool,
}

/// What a host reports of the crashes under one part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// The part.
    pub part: PartDigest,
    /// The workspaces whose requests had the part; `None` stands for requests without one.
    pub workspaces: Vec<Option<WorkspaceName>>,
    /// Whether one of the requests was sent when an earlier crash was on record, and its own crash is
    /// certain.
    pub repeated: bool,
    /// The crashes.
    pub crashes: Vec<CrashReport>,
}

/// A crash of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The worker.
    pub worker: WorkerName,
    /// The time since the crash.
    pub age: Duration,
}
