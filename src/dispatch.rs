//! The one dispatch of a request to a worker.
