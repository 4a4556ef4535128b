//! The callers' interface: reads requests and streams answers.
