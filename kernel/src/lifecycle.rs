//! The life of one request, as a typestate.
