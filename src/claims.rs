//! Claims of non-idempotent requests in the platform's table.
