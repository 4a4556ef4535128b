//! Which hosts are alive, and which of them is the broker of a cell.
