//! The claim protocol, which lets a non-idempotent request run at most once.
