//! The platform: a transactional table and an object store.
