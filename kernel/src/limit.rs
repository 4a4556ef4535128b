//! The number of requests that a worker may run at once, learned from its answers.
