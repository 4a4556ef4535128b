//! The waiting work of one cell, by tier and deadline.
