//! A client of the platform's table, object store and host list.
