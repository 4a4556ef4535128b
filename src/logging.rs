//! Set-up of structured logs.
