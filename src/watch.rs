//! Polls of worker load, cache events and the host list.
