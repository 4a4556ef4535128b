//! Policies against engine models under virtual time.
