//! A model engine behind its HTTP interface.
