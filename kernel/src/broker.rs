//! The broker of one cell: orders what waits and grants slots on workers.
