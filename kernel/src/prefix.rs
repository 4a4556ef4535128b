//! What is known about the prefix caches of workers.
