//! Requests that crash the workers that run them.
