//! What the tasks of one host share.
